"""Transit: how long messages from another daemon were held up on their way.

Clocks of two daemons differ by an unknown amount. The least difference seen between
sending and arrival stands for it, and what a message took beyond that is its delay.
"""

from collections import OrderedDict

# The least difference is let grow, in milliseconds a second, so that clocks may drift.
DRIFT_MS_PER_S = 1.0
# Senders remembered; the one heard least lately goes first.
SENDERS_MAX = 2_048


class Transit:
    """Least differences by sender."""

    def __init__(self):
        self._least: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def measure_delay_ms(self, sender: str, sent_ms: int, arrived_ms: int) -> int:
        """Return how long a message was held up, in milliseconds; 0 for the first.

        Parameters
        ----------
        sender : str
            One run of a daemon.
        sent_ms : int
            By the sender's clock.
        arrived_ms : int
            By the own clock.

        Examples
        --------
        >>> transit = Transit()
        >>> [transit.measure_delay_ms("a", sent, sent + 500) for sent in (0, 10)]
        [0, 0]
        >>> transit.measure_delay_ms("a", 20, 820)
        300
        """
        difference = float(arrived_ms - sent_ms)
        known = self._least.pop(sender, None)
        if known is not None:
            least, at_ms = known
            least += (arrived_ms - at_ms) / 1000 * DRIFT_MS_PER_S
            least = min(least, difference)
        else:
            least = difference
        self._least[sender] = (least, arrived_ms)
        if len(self._least) > SENDERS_MAX:
            self._least.popitem(last=False)
        return round(difference - least)
