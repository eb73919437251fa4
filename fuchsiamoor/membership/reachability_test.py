from fuchsiamoor.membership import reachability


def test_coordinator_without_any_message_has_lost_inbound_once_a_probe_is_answered():
    history = reachability.make_history()
    heard_ms = {"a#1": 5_000, "b#1": 1_150, "c#1": 1_150}
    assert not reachability.has_lost_inbound(history, heard_ms, "a#1", 1_600)
    reachability.record_answer(history, "b#1", 1_550)
    assert reachability.has_lost_inbound(history, heard_ms, "a#1", 1_600)


def test_inbound_is_not_lost_while_a_member_is_heard_or_none_answers():
    history = reachability.make_history()
    reachability.record_answer(history, "b#1", 1_000)
    assert not reachability.has_lost_inbound(
        history, {"b#1": 100, "c#1": 900}, "a#1", 1_000
    )
    assert not reachability.has_lost_inbound(history, {"c#1": 100}, "a#1", 1_000)
    assert not reachability.has_lost_inbound(history, {}, "a#1", 1_000)


def test_member_is_unreachable_from_missing_answers_until_the_next_answer():
    history = reachability.make_history()
    assert reachability.record_due_probe(history, "b#1", 0)
    assert not reachability.is_reachable(
        history, "b#1", reachability.UNREACHABLE_AFTER_MS + 1
    )
    reachability.record_answer(history, "b#1", 2_000)
    assert reachability.is_reachable(
        history, "b#1", 2_000 + reachability.UNREACHABLE_AFTER_MS
    )
