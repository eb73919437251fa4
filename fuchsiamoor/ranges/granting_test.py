from fuchsiamoor.ranges import granting
from fuchsiamoor.ranges import table as tables
from fuchsiamoor.testing import traffic_data
from fuchsiamoor.traffic import upstreams

OWN, NEXT = "10.0.0.1/i-1@1", "10.0.0.2/i-2@2"
EVIDENCE_MS = 9_000


def make_table(*rows, version=5):
    return tables.RangeTable("stock", version, rows)


STAYS = tables.Row(0, 99, OWN, 3, "token")
MOVES = tables.Row(100, 65_535, OWN, 3, "", NEXT)


def answer(made, table, **changes):
    heartbeat = traffic_data.make_heartbeat(**changes)
    return granting.answer_heartbeat(made, table, heartbeat, EVIDENCE_MS, 10_000, 0)


def test_moving_rows_are_left_out_and_the_others_granted():
    made = granting.make_granting(OWN)
    grants = answer(made, make_table(STAYS, MOVES))
    assert grants.rows == (granting.Grant(0, 99, 3, "token"),)
    assert grants.hold_ms == granting.HOLD_MS
    assert granting.find_grant(made, 99, 0) is not None
    assert granting.find_grant(made, 100, 0) is None


def test_a_token_is_handed_in_only_until_the_keys_are_held():
    held = (upstreams.HeldRange(0, 99, 3),)
    grants = answer(granting.make_granting(OWN), make_table(STAYS, MOVES), held=held)
    assert grants.rows[0].handover == ""


def test_without_evidence_nothing_is_granted():
    made = granting.make_granting(OWN)
    heartbeat = traffic_data.make_heartbeat()
    table = make_table(STAYS, MOVES)
    assert granting.answer_heartbeat(made, table, heartbeat, 50, 10_000, 0) is None
    assert granting.find_grant(made, 0, 0) is None


def test_keys_go_piece_by_piece_with_their_tokens():
    made = granting.make_granting(OWN)
    table = make_table(STAYS, MOVES)
    answer(made, table, sequence=1)
    released = (upstreams.ReleasedRange(200, 65_535, "t"),)
    held = (upstreams.HeldRange(0, 99, 3), upstreams.HeldRange(150, 150, 3))
    heartbeat = traffic_data.make_heartbeat(sequence=2, held=held, released=released)
    granting.answer_heartbeat(made, table, heartbeat, EVIDENCE_MS, 10_000, 0)
    planned = granting.plan_releases(made, table, heartbeat)
    assert planned.rows == (
        STAYS,
        tables.Row(100, 149, NEXT, 6),
        tables.Row(150, 150, OWN, 3, "", NEXT),
        tables.Row(151, 199, NEXT, 6),
        tables.Row(200, 65_535, NEXT, 6, "t"),
    )
    rest = traffic_data.make_heartbeat(sequence=3)
    granting.answer_heartbeat(made, planned, rest, EVIDENCE_MS, 10_000, 0)
    last = granting.plan_releases(made, planned, rest)
    assert tables.find_row(last, 150).owner == NEXT


def test_the_report_that_is_answered_without_the_keys_is_no_proof_itself():
    made = granting.make_granting(OWN)
    table = make_table(STAYS, MOVES)
    first = traffic_data.make_heartbeat(sequence=1)
    granting.answer_heartbeat(made, table, first, EVIDENCE_MS, 10_000, 0)
    assert granting.plan_releases(made, table, first) is None
