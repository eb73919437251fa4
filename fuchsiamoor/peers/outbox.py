"""Send queue of one link, which batches queued envelopes into frames."""

from dataclasses import dataclass, field

from fuchsiamoor.peers import codec

MAX_QUEUED_BYTES = 32 * 1024 * 1024
MAX_QUEUED_ENVELOPES = 16_384
TARGET_FRAME_BYTES = 256 * 1024


@dataclass(slots=True)
class Outbox:
    """Queued envelopes, encoded, by correlation id, oldest first."""

    envelopes: dict[int, bytes] = field(default_factory=dict)
    size_bytes: int = 0


def has_capacity(outbox: Outbox, size_bytes: int) -> bool:
    """Return whether an envelope of this size fits within the limits."""
    return (
        len(outbox.envelopes) < MAX_QUEUED_ENVELOPES
        and outbox.size_bytes + size_bytes <= MAX_QUEUED_BYTES
    )


def add(outbox: Outbox, correlation_id: int, encoded: bytes) -> None:
    """Queue an envelope; its correlation id must not be queued yet."""
    outbox.envelopes[correlation_id] = encoded
    outbox.size_bytes += len(encoded)


def discard(outbox: Outbox, correlation_id: int) -> bool:
    """Remove an envelope; return False if it is no longer queued."""
    encoded = outbox.envelopes.pop(correlation_id, None)
    if encoded is None:
        return False
    outbox.size_bytes -= len(encoded)
    return True


def take_frame(outbox: Outbox) -> bytes:
    """Remove the oldest envelopes and return them as one frame.

    The outbox must not be empty. An envelope larger than `TARGET_FRAME_BYTES` gets a
    frame of its own.

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
        outbox.size_bytes = 0
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
    return codec.join_frame(taken)


def _fits_one_frame(outbox: Outbox) -> bool:
    return (
        len(outbox.envelopes) <= codec.MAX_ENVELOPES
        and outbox.size_bytes <= TARGET_FRAME_BYTES
    )
