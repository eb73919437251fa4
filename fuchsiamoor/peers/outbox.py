"""Send queue of one link, which batches queued envelopes into frames."""

from collections.abc import Callable
from dataclasses import dataclass, field

from fuchsiamoor.core import byte_account
from fuchsiamoor.peers import codec

MAX_QUEUED_BYTES = 32 * 1024 * 1024
MAX_QUEUED_ENVELOPES = 16_384
TARGET_FRAME_BYTES = 256 * 1024


@dataclass(slots=True, eq=False)
class Outbox:
    """Queued envelopes, encoded, by correlation id, oldest first.

    Parameters
    ----------
    envelopes : dict of int to bytes
    size_bytes : int
    writing_bytes : int
        Size of the frame that was taken and is not written yet.
    account : ByteAccount
        Counts both.
    abort_link : callable
        Ends the link, whose peer reads too slowly.
    """

    envelopes: dict[int, bytes] = field(default_factory=dict)
    size_bytes: int = 0
    writing_bytes: int = 0
    account: byte_account.ByteAccount = field(
        default_factory=byte_account.make_unlimited
    )
    abort_link: Callable[[], None] = lambda: None

    def cut(self, detail: str) -> None:
        """End the link, as too many bytes are held."""
        self.abort_link()


def has_capacity(outbox: Outbox, size_bytes: int) -> bool:
    """Return whether an envelope of this size fits within the limits."""
    if len(outbox.envelopes) >= MAX_QUEUED_ENVELOPES:
        return False
    limit_bytes = min(MAX_QUEUED_BYTES, outbox.account.limit_bytes)
    return outbox.size_bytes + size_bytes <= limit_bytes


def add(outbox: Outbox, correlation_id: int, encoded: bytes) -> None:
    """Queue an envelope; its correlation id must not be queued yet."""
    outbox.envelopes[correlation_id] = encoded
    outbox.size_bytes += len(encoded)
    _count_held(outbox)


def discard(outbox: Outbox, correlation_id: int) -> bool:
    """Remove an envelope; return False if it is no longer queued."""
    encoded = outbox.envelopes.pop(correlation_id, None)
    if encoded is None:
        return False
    outbox.size_bytes -= len(encoded)
    _count_held(outbox)
    return True


def end_writing(outbox: Outbox) -> None:
    """Count the frame that was taken last as no longer held."""
    outbox.writing_bytes = 0
    _count_held(outbox)


def _count_held(outbox: Outbox) -> None:
    held_bytes = outbox.size_bytes + outbox.writing_bytes
    if held_bytes:
        byte_account.set_held(outbox.account, outbox, held_bytes)
    else:
        byte_account.release_all(outbox.account, outbox)


def take_frame(outbox: Outbox) -> bytes:
    """Remove the oldest envelopes and return them as one frame.

    The outbox must not be empty. An envelope larger than `TARGET_FRAME_BYTES` gets a
    frame of its own. Its bytes are held until `end_writing`.

    Examples
    --------
    >>> outbox = Outbox()
    >>> add(outbox, 1, b"\\x82\\x01\\x03")
    >>> take_frame(outbox).hex(), outbox.size_bytes
    ('81820103', 0)
    """
    if _fits_one_frame(outbox):
        taken = list(outbox.envelopes.values())
        outbox.envelopes.clear()
        outbox.writing_bytes, outbox.size_bytes = outbox.size_bytes, 0
        return codec.join_frame(taken)
    taken = []
    taken_bytes = 0
    for correlation_id, encoded in list(outbox.envelopes.items()):
        full = len(taken) == codec.MAX_ENVELOPES
        if taken and (full or taken_bytes + len(encoded) > TARGET_FRAME_BYTES):
            break
        taken.append(encoded)
        taken_bytes += len(encoded)
        del outbox.envelopes[correlation_id]
    outbox.size_bytes -= taken_bytes
    outbox.writing_bytes = taken_bytes
    return codec.join_frame(taken)


def _fits_one_frame(outbox: Outbox) -> bool:
    return (
        len(outbox.envelopes) <= codec.MAX_ENVELOPES
        and outbox.size_bytes <= TARGET_FRAME_BYTES
    )
