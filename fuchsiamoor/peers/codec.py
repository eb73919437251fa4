"""Encoding of messages between daemons to and from CBOR.

A websocket frame is a CBOR array of envelopes. An envelope is the array
``[correlation id, role, kind, *fields]``; roles without a message end after the role.
Malformed input raises `FrameError` and no other exception.
"""

from enum import IntEnum
from typing import NamedTuple

import cbor2

from fuchsiamoor.core import members, messages
from fuchsiamoor.core.errors import FrameError
from fuchsiamoor.peers import records

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_ENVELOPE_BYTES = MAX_FRAME_BYTES - 16
MAX_ENVELOPES = 1024
MAX_DEPTH = 12
MAX_CORRELATION_ID = 2**63 - 1


class Role(IntEnum):
    """Whether an envelope is a call, a one-way message, or an answer to a call."""

    TELL = 0
    CALL = 1
    ANSWER = 2
    REFUSED = 3
    FAILED = 4
    LEAVING = 5


class Envelope(NamedTuple):
    """One message on a link.

    Parameters
    ----------
    correlation_id : int
        Assigned by the calling side in increasing order on each link; an answer
        carries the id of its call.
    role : Role
        `Role.REFUSED` means that the call was not handled, `Role.FAILED` that its
        handler failed, `Role.LEAVING` that the sender accepts no more calls.
    message : Message or None
        None for `Role.REFUSED`, `Role.FAILED` and `Role.LEAVING`.
    """

    correlation_id: int
    role: Role
    message: messages.Message | None


_ROLES = {role.value: role for role in Role}
_FIRST_ROLE_WITHOUT_MESSAGE = Role.REFUSED.value
_KIND_NUMBERS = {record_type: number for number, record_type in messages.KINDS.items()}
_READERS_BY_KIND = {n: records.make_reader(kind) for n, kind in messages.KINDS.items()}
_WRITERS_BY_TYPE = {kind: records.make_writer(kind) for kind in _KIND_NUMBERS}
# A frame is decoded in a pair with _END_MARKER, which detects bytes after its end.
_END_MARKER = 0x5A17
_MARKED_PREFIX = b"\x82"
_MARKED_SUFFIX = cbor2.dumps(_END_MARKER)


def _reject_tag(*_arguments: object) -> None:
    raise ValueError("tags are not allowed")


# Tags that cbor2 decodes itself; it calls tag_hook only for other tags.
_KNOWN_TAGS = (*range(6), 25, 28, 29, 30, 35, 36, 37, 100, 256, 258, 260, 261, 1004)
_TAG_DECODERS = dict.fromkeys((*_KNOWN_TAGS, 43000, 55799), _reject_tag)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode one envelope.

    Raises
    ------
    FrameError
        If the message is too large for a frame or the type of a value does not match
        its field.
    """
    message = envelope.message
    head = (envelope.correlation_id, envelope.role.value)
    if message is None:
        return cbor2.dumps(head)
    try:
        number = _KIND_NUMBERS[type(message)]
        write = _WRITERS_BY_TYPE[type(message)]
        fields = message if write is None else write(message)
        encoded = cbor2.dumps((*head, number, *fields))
    except Exception as error:
        raise FrameError(f"{type(message).__name__}: cannot encode: {error}") from error
    if len(encoded) > MAX_ENVELOPE_BYTES:
        raise FrameError(
            f"{type(message).__name__}: found {len(encoded)} bytes, "
            f"expected at most {MAX_ENVELOPE_BYTES}"
        )
    return encoded


def join_frame(envelopes: list[bytes]) -> bytes:
    """Return a frame of encoded envelopes, at most `MAX_ENVELOPES`.

    Examples
    --------
    >>> join_frame([encode_envelope(Envelope(1, Role.REFUSED, None))]).hex()
    '81820103'
    """
    count = len(envelopes)
    if count < 24:
        head = bytes((0x80 | count,))
    elif count < 256:
        head = bytes((0x98, count))
    else:
        head = b"\x99" + count.to_bytes(2, "big")
    return head + b"".join(envelopes)


def decode_frame(frame: bytes) -> list[Envelope]:
    """Decode all envelopes of a frame.

    Parameters
    ----------
    frame : bytes
        As received from the peer; the content is not trusted.

    Raises
    ------
    FrameError
        If any part of the frame is malformed or over a limit; no envelope is returned.
    """
    if type(frame) is not bytes:
        raise FrameError("found a text frame, expected a binary one")
    items = _decode(frame)
    if type(items) is not list or len(items) > MAX_ENVELOPES:
        raise FrameError(f"expected a list of at most {MAX_ENVELOPES} messages")
    return [_read_envelope(item) for item in items]


def encode_record(record: tuple) -> bytes:
    """Encode a `NamedTuple` whose field types `records` supports."""
    write = records.make_writer(type(record))
    return cbor2.dumps(record if write is None else write(record))


def decode_record(record_type: type, encoded: bytes) -> tuple:
    """Decode a record that `encode_record` encoded.

    Raises
    ------
    FrameError
        If the bytes are malformed or do not hold a ``record_type``.
    """
    try:
        return records.make_reader(record_type)(_decode(encoded))
    except records.UnreadableRecordError as error:
        raise FrameError(str(error)) from None


def encode_member(member: members.Member) -> bytes:
    """Encode a member record."""
    return encode_record(member)


def decode_member(encoded: bytes) -> members.Member:
    """Decode a member record; raises `FrameError` if it is malformed."""
    return decode_record(members.Member, encoded)


def _decode(encoded: bytes) -> object:
    if len(encoded) > MAX_FRAME_BYTES:
        raise FrameError(
            f"found {len(encoded)} bytes, expected at most {MAX_FRAME_BYTES}"
        )
    try:
        decoded, end = cbor2.loads(
            b"".join((_MARKED_PREFIX, encoded, _MARKED_SUFFIX)),
            semantic_decoders=_TAG_DECODERS,
            tag_hook=_reject_tag,
            max_depth=MAX_DEPTH,
            allow_indefinite=False,
            allow_duplicate_keys=False,
        )
    except Exception as error:
        raise FrameError(f"malformed CBOR: {error}") from None
    if end != _END_MARKER:
        raise FrameError("malformed CBOR: bytes after the end")
    return decoded


def _read_envelope(item: object) -> Envelope:
    if type(item) is not list or len(item) < 2:
        raise FrameError("expected a message of at least two items")
    correlation_id, number = item[0], item[1]
    if type(correlation_id) is not int or type(number) is not int:
        raise FrameError("expected a correlation id and a role")
    role = _ROLES.get(number)
    if role is None or not 0 <= correlation_id <= MAX_CORRELATION_ID:
        raise FrameError(f"found {item[:2]!r:.60}, expected a correlation id and role")
    if number >= _FIRST_ROLE_WITHOUT_MESSAGE:
        if len(item) != 2:
            raise FrameError("expected nothing after a refusal")
        return Envelope(correlation_id, role, None)
    kind = item[2] if len(item) > 2 else None
    read = _READERS_BY_KIND.get(kind) if type(kind) is int else None
    if read is None:
        raise FrameError(f"found kind {kind!r:.40}, expected a known number")
    del item[:3]
    try:
        return Envelope(correlation_id, role, read(item))
    except records.UnreadableRecordError as error:
        raise FrameError(str(error)) from None
