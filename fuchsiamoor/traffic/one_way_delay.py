"""Estimates the one-way delay of messages from other daemons.

The clocks of two daemons differ by an unknown offset. The smallest difference seen
between the arrival and the sending time of a message serves as the estimate of that
offset; the delay of a message is its own difference minus this estimate.
"""

from collections import OrderedDict

# Growth of the smallest difference, in milliseconds per second, to follow clock drift.
DRIFT_MS_PER_S = 1.0
# Number of senders kept; the least recently heard one is evicted first.
SENDERS_MAX = 2_048


class DelayEstimator:
    """Smallest difference between arrival and sending time, by sender."""

    def __init__(self):
        self._min_offsets: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def estimate_delay_ms(self, sender: str, sent_ms: int, arrived_ms: int) -> int:
        """Return the delay of a message in milliseconds; 0 for a sender's first.

        Parameters
        ----------
        sender : str
            Identifies one run of a daemon.
        sent_ms : int
            Sending time by the sender's clock.
        arrived_ms : int
            Arrival time by the local clock.

        Examples
        --------
        >>> estimator = DelayEstimator()
        >>> [estimator.estimate_delay_ms("a", sent, sent + 500) for sent in (0, 10)]
        [0, 0]
        >>> estimator.estimate_delay_ms("a", 20, 820)
        300
        """
        offset = float(arrived_ms - sent_ms)
        previous = self._min_offsets.pop(sender, None)
        if previous is not None:
            min_offset, updated_ms = previous
            min_offset += (arrived_ms - updated_ms) / 1000 * DRIFT_MS_PER_S
            min_offset = min(min_offset, offset)
        else:
            min_offset = offset
        self._min_offsets[sender] = (min_offset, arrived_ms)
        if len(self._min_offsets) > SENDERS_MAX:
            self._min_offsets.popitem(last=False)
        return round(offset - min_offset)
