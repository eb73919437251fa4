from fuchsiamoor.membership import reach as reaches


def test_a_coordinator_that_never_heard_anybody_is_deaf_once_its_calls_are_answered():
    reach = reaches.make_reach()
    heard_ms = {"a#1": 5_000, "b#1": 1_150, "c#1": 1_150}
    assert not reaches.is_deaf(reach, heard_ms, "a#1", 1_600)
    reaches.note_answer(reach, "b#1", 1_550)
    assert reaches.is_deaf(reach, heard_ms, "a#1", 1_600)


def test_nobody_is_deaf_while_one_member_is_heard_or_none_answers():
    reach = reaches.make_reach()
    reaches.note_answer(reach, "b#1", 1_000)
    assert not reaches.is_deaf(reach, {"b#1": 100, "c#1": 900}, "a#1", 1_000)
    assert not reaches.is_deaf(reach, {"c#1": 100}, "a#1", 1_000)
    assert not reaches.is_deaf(reach, {}, "a#1", 1_000)


def test_a_member_that_stops_answering_is_reached_no_more_until_it_answers_again():
    reach = reaches.make_reach()
    assert reaches.note_due(reach, "b#1", 0)
    assert not reaches.is_reached(reach, "b#1", reaches.PATIENCE_MS + 1)
    reaches.note_answer(reach, "b#1", 2_000)
    assert reaches.is_reached(reach, "b#1", 2_000 + reaches.PATIENCE_MS)
