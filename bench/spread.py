"""How long a new revision takes to reach every daemon by the exchange of digests.

``python -m bench.spread`` drives the choice of partners alone, for several sizes of the
fleet, with a share of the daemons silent, and prints one table.
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
LIMIT_ROUNDS = 200


def count_rounds(size: int, silent_ratio: float, fixed: bool, seed: int) -> int:
    """Return the rounds until every daemon that is not silent knows the revision."""
    rng = random.Random(seed)
    names = [f"instance-{number}#1" for number in range(size)]
    silent = set(rng.sample(names[1:], int(size * silent_ratio)))
    knows = {names[0]}
    living = set(names) - silent
    for round_number in range(1, LIMIT_ROUNDS):
        for name in rng.sample(sorted(living), len(living)):
            peer = _choose(name, names, fixed, rng)
            if peer in living and (peer in knows or name in knows):
                knows.update((peer, name))
        if knows >= living:
            return round_number
    return LIMIT_ROUNDS


def _choose(name: str, names: list[str], fixed: bool, rng: random.Random) -> str:
    if fixed:
        return partners.choose_partner(name, names, rng)
    return rng.choice([other for other in names if other != name])


def main() -> None:
    """Print the table."""
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
