"""Simulates how long gossip takes to deliver a new revision to every daemon.

``python -m bench.spread`` simulates only the choice of gossip partners, for several
fleet sizes and with some daemons not answering, and prints one table. It compares the
fixed partners of `partners.choose_partner` with partners drawn from the whole fleet.
"""

import os
import platform
import random
import statistics

from fuchsiamoor.core import settings
from fuchsiamoor.membership import partners

SIZES = (13, 130, 510)
SILENT_RATIOS = (0.0, 0.1)
TRIALS = 20
MAX_ROUNDS = 200


def count_rounds(size: int, silent_ratio: float, fixed: bool, seed: int) -> int:
    """Return the number of rounds until every daemon that answers has the revision.

    Parameters
    ----------
    size : int
        Daemons in the fleet.
    silent_ratio : float
        Share of the daemons that do not answer.
    fixed : bool
        Whether each daemon has fixed partners, or draws one from the whole fleet.
    seed : int
    """
    rng = random.Random(seed)
    names = [f"instance-{number}#1" for number in range(size)]
    silent = set(rng.sample(names[1:], int(size * silent_ratio)))
    informed = {names[0]}
    responsive = set(names) - silent
    for round_number in range(1, MAX_ROUNDS):
        for name in rng.sample(sorted(responsive), len(responsive)):
            peer = _choose_partner(name, names, fixed, rng)
            if peer in responsive and (peer in informed or name in informed):
                informed.update((peer, name))
        if informed >= responsive:
            return round_number
    return MAX_ROUNDS


def _choose_partner(
    name: str, names: list[str], fixed: bool, rng: random.Random
) -> str:
    if fixed:
        return partners.choose_partner(name, names, rng)
    return rng.choice([other for other in names if other != name])


def main() -> None:
    """Run the simulations and print one table."""
    every_s = settings.Timing().gossip_every_ms / 1000
    print(f"{os.cpu_count()} cores, Python {platform.python_version()}")
    print(f"{'daemons':>8}{'silent':>8}{'partners':>10}{'median s':>10}{'worst s':>9}")
    for size in SIZES:
        for silent_ratio in SILENT_RATIOS:
            for fixed in (True, False):
                trials = TRIALS if size < 500 else TRIALS // 4
                rounds = [
                    count_rounds(size, silent_ratio, fixed, seed)
                    for seed in range(trials)
                ]
                print(
                    f"{size:>8}{silent_ratio:>8.0%}{'fixed' if fixed else 'any':>10}"
                    f"{statistics.median(rounds) * every_s:>10.1f}"
                    f"{max(rounds) * every_s:>9.1f}"
                )


if __name__ == "__main__":
    main()
