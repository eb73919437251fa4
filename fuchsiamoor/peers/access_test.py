import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core.errors import AccessDeniedError
from fuchsiamoor.peers import access

NOW_MS = 1_000_000
texts = st.text(max_size=20)


def make_offer(key="k", sender="a", receiver="b", nonce="n", sent_at_ms=NOW_MS):
    return access.make_offer(key, sender, receiver, nonce, sent_at_ms)


@given(texts, texts)
def test_offer_survives_its_headers(sender, receiver):
    offer = make_offer(sender=sender, receiver=receiver)
    assert access.parse_offer(access.format_offer(offer)) == offer


@given(st.dictionaries(st.sampled_from(list(access.format_offer(make_offer()))), texts))
def test_garbage_headers_are_denied(changes):
    headers = access.format_offer(make_offer()) | changes
    try:
        offer = access.parse_offer(headers)
        access.admit(access.make_guard(("k",)), offer, NOW_MS)
    except AccessDeniedError:
        return
    assert offer == make_offer()


@pytest.mark.parametrize(
    "change",
    [
        {"sender": "c"},
        {"receiver": "c"},
        {"nonce": "m"},
        {"sent_at_ms": NOW_MS + 1},
        {"sender": "ab", "receiver": ""},
        {"proof": ""},
        {"proof": "é"},
    ],
)
def test_changed_offer_is_denied(change):
    guard = access.make_guard(("k",))
    with pytest.raises(AccessDeniedError, match="no key"):
        access.admit(guard, make_offer()._replace(**change), NOW_MS)


def test_offer_is_admitted_once():
    guard = access.make_guard(("k",))
    access.admit(guard, make_offer(), NOW_MS)
    with pytest.raises(AccessDeniedError, match="used before"):
        access.admit(guard, make_offer(), NOW_MS + access.MAX_CLOCK_DIFFERENCE_MS)


@pytest.mark.parametrize("away_ms", [-60_001, 60_001])
def test_offer_from_another_time_is_denied(away_ms):
    guard = access.make_guard(("k",))
    with pytest.raises(AccessDeniedError, match="expected at most"):
        access.admit(guard, make_offer(), NOW_MS + away_ms)


@given(st.lists(st.integers(0, 200_000), max_size=20))
def test_no_offer_is_admitted_twice_at_any_times(times_ms):
    guard = access.make_guard(("k",))
    admitted = 0
    for now_ms in times_ms:
        try:
            access.admit(guard, make_offer(sent_at_ms=100_000), now_ms)
            admitted += 1
        except AccessDeniedError:
            pass
    assert admitted <= 1


def test_nonces_are_bounded(monkeypatch):
    monkeypatch.setattr(access, "MAX_NONCES", 2)
    guard = access.make_guard(("k",))
    for nonce in "ab":
        access.admit(guard, make_offer(nonce=nonce), NOW_MS)
    with pytest.raises(AccessDeniedError):
        access.admit(guard, make_offer(nonce="c"), NOW_MS)
    later_ms = NOW_MS + 2 * access.MAX_CLOCK_DIFFERENCE_MS
    access.admit(guard, make_offer(nonce="c", sent_at_ms=later_ms), later_ms)
    assert list(guard.nonce_ends_ms) == ["c"]


def test_acceptance_proves_a_key_in_force():
    offer = make_offer()
    access.check_acceptance(("x", "k"), offer, access.prove_acceptance("k", offer))
    with pytest.raises(AccessDeniedError):
        access.check_acceptance(("x",), offer, access.prove_acceptance("k", offer))
    with pytest.raises(AccessDeniedError):
        access.check_acceptance(("k",), offer, offer.proof)


@pytest.mark.parametrize("keys", [(), ("",), ("k", "")])
def test_guard_needs_keys(keys):
    with pytest.raises(ValueError, match="peer keys"):
        access.make_guard(keys)
