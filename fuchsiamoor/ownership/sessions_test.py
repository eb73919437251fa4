"""Compares whole sessions of a domain with golden files.

UPDATE_GOLDEN=1 rewrites the files.
"""

import os
from pathlib import Path

import pytest

from fuchsiamoor.testing import ownership_faults as faults
from fuchsiamoor.testing import ownership_sessions as sessions

GOLDEN = Path(__file__).with_name("sessions_golden")
OWNER = 0
COORDINATOR = 2
ONE_OWNER = frozenset({OWNER})
THE_COORDINATOR = frozenset({COORDINATOR})

SESSIONS = {
    "first_assignment": ([], 2_500),
    "kill": ([(3_000, faults.Kill(ONE_OWNER, 60_000))], 7_000),
    "kill_without_grant_checks": ([(3_000, faults.Kill(ONE_OWNER, 60_000))], 8_000),
    "kill_coordinator": ([(3_000, faults.Kill(THE_COORDINATOR, 60_000))], 8_000),
    "frozen_owner_returns": ([(3_000, faults.Pause(ONE_OWNER, 4_000))], 9_000),
    "planned_move": ([(3_000, faults.Leave(OWNER, 3_000))], 8_000),
    "coordinator_leaves": ([(3_000, faults.Leave(COORDINATOR, 4_000))], 8_000),
    "succession_with_a_pending_move": (
        [
            (3_000, faults.Kill(ONE_OWNER, 60_000)),
            (4_000, faults.Kill(THE_COORDINATOR, 60_000)),
        ],
        9_000,
    ),
    "store_outage_with_vouches": ([(3_000, faults.StoreDown(4_000))], 9_000),
    "data_centre_out_and_in": ([(3_000, faults.TakeOut("almaty-2", 2_000))], 9_000),
    "override_met_and_unmet": (
        [
            (3_000, faults.Hold(3, 5_000)),
            (5_000, faults.Kill(frozenset({3}), 500)),
        ],
        12_000,
    ),
}


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_session_matches_its_golden_file(name):
    schedule, until_ms = SESSIONS[name]
    checks_grants = "without_grant_checks" not in name
    session = sessions.format_session(schedule, until_ms, checks_grants=checks_grants)
    path = GOLDEN / f"{name}.txt"
    assert f"i{COORDINATOR}#{COORDINATOR + 1} > WriteTable revision 1" in session
    if os.environ.get("UPDATE_GOLDEN"):
        path.write_text(session)
    assert session == path.read_text()
