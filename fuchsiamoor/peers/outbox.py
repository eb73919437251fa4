"""Messages waiting to be written to one link, taken a frame at a time."""

from dataclasses import dataclass, field

from fuchsiamoor.peers import codec

MAX_WAITING_BYTES = 32 * 1024 * 1024
MAX_WAITING = 16_384
FRAME_GOAL_BYTES = 256 * 1024


@dataclass(slots=True)
class Outbox:
    """Encoded envelopes by correlation id, oldest first."""

    waiting: dict[int, bytes] = field(default_factory=dict)
    size_bytes: int = 0


def has_room(outbox: Outbox, size_bytes: int) -> bool:
    """Return whether an envelope may be added within the limits."""
    return (
        len(outbox.waiting) < MAX_WAITING
        and outbox.size_bytes + size_bytes <= MAX_WAITING_BYTES
    )


def add(outbox: Outbox, correlation_id: int, encoded: bytes) -> None:
    """Add an envelope; its id must not be waiting."""
    outbox.waiting[correlation_id] = encoded
    outbox.size_bytes += len(encoded)


def discard(outbox: Outbox, correlation_id: int) -> bool:
    """Remove an envelope; False if it was taken already."""
    encoded = outbox.waiting.pop(correlation_id, None)
    if encoded is None:
        return False
    outbox.size_bytes -= len(encoded)
    return True


def take_frame(outbox: Outbox) -> bytes:
    """Remove the oldest envelopes and return them as one frame; the box is not empty.

    Examples
    --------
    >>> outbox = Outbox()
    >>> add(outbox, 1, b"\\x82\\x01\\x03")
    >>> take_frame(outbox).hex(), outbox.size_bytes
    ('81820103', 0)
    """
    if _fits_one_frame(outbox):
        taken = list(outbox.waiting.values())
        outbox.waiting.clear()
        outbox.size_bytes = 0
        return codec.join_frame(taken)
    taken = []
    taken_bytes = 0
    for correlation_id, encoded in list(outbox.waiting.items()):
        full = len(taken) == codec.MAX_ENVELOPES
        if taken and (full or taken_bytes + len(encoded) > FRAME_GOAL_BYTES):
            break
        taken.append(encoded)
        taken_bytes += len(encoded)
        del outbox.waiting[correlation_id]
    outbox.size_bytes -= taken_bytes
    return codec.join_frame(taken)


def _fits_one_frame(outbox: Outbox) -> bool:
    return (
        len(outbox.waiting) <= codec.MAX_ENVELOPES
        and outbox.size_bytes <= FRAME_GOAL_BYTES
    )
