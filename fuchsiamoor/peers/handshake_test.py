import pytest
from hypothesis import given
from hypothesis import strategies as st

from fuchsiamoor.core.errors import AccessDeniedError
from fuchsiamoor.peers import handshake

NOW_MS = 1_000_000
texts = st.text(max_size=20)


def make_offer(key="k", sender="a", receiver="b", nonce="n", sent_at_ms=NOW_MS):
    return handshake.make_offer(key, sender, receiver, nonce, sent_at_ms)


@given(texts, texts)
def test_offer_round_trips_through_headers(sender, receiver):
    offer = make_offer(sender=sender, receiver=receiver)
    assert handshake.parse_offer(handshake.format_offer(offer)) == offer


@given(
    st.dictionaries(st.sampled_from(list(handshake.format_offer(make_offer()))), texts)
)
def test_garbage_headers_are_denied(changes):
    headers = handshake.format_offer(make_offer()) | changes
    try:
        offer = handshake.parse_offer(headers)
        handshake.authenticate(handshake.make_authenticator(("k",)), offer, NOW_MS)
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
    authenticator = handshake.make_authenticator(("k",))
    with pytest.raises(AccessDeniedError, match="no key"):
        handshake.authenticate(authenticator, make_offer()._replace(**change), NOW_MS)


def test_offer_is_accepted_once():
    authenticator = handshake.make_authenticator(("k",))
    handshake.authenticate(authenticator, make_offer(), NOW_MS)
    with pytest.raises(AccessDeniedError, match="used before"):
        handshake.authenticate(
            authenticator, make_offer(), NOW_MS + handshake.MAX_CLOCK_DIFFERENCE_MS
        )


@pytest.mark.parametrize("difference_ms", [-60_001, 60_001])
def test_offer_with_a_distant_time_is_denied(difference_ms):
    authenticator = handshake.make_authenticator(("k",))
    with pytest.raises(AccessDeniedError, match="expected at most"):
        handshake.authenticate(authenticator, make_offer(), NOW_MS + difference_ms)


@given(st.lists(st.integers(0, 200_000), max_size=20))
def test_no_offer_is_accepted_twice_at_any_time(times_ms):
    authenticator = handshake.make_authenticator(("k",))
    accepted = 0
    for now_ms in times_ms:
        try:
            handshake.authenticate(
                authenticator, make_offer(sent_at_ms=100_000), now_ms
            )
            accepted += 1
        except AccessDeniedError:
            pass
    assert accepted <= 1


def test_number_of_recorded_nonces_is_bounded(monkeypatch):
    monkeypatch.setattr(handshake, "MAX_NONCES", 2)
    authenticator = handshake.make_authenticator(("k",))
    for nonce in "ab":
        handshake.authenticate(authenticator, make_offer(nonce=nonce), NOW_MS)
    with pytest.raises(AccessDeniedError):
        handshake.authenticate(authenticator, make_offer(nonce="c"), NOW_MS)
    later_ms = NOW_MS + 2 * handshake.MAX_CLOCK_DIFFERENCE_MS
    handshake.authenticate(
        authenticator, make_offer(nonce="c", sent_at_ms=later_ms), later_ms
    )
    assert list(authenticator.nonce_expiry_ms) == ["c"]


def test_acceptance_needs_a_valid_key():
    offer = make_offer()
    handshake.verify_acceptance(
        ("x", "k"), offer, handshake.prove_acceptance("k", offer)
    )
    with pytest.raises(AccessDeniedError):
        handshake.verify_acceptance(
            ("x",), offer, handshake.prove_acceptance("k", offer)
        )
    with pytest.raises(AccessDeniedError):
        handshake.verify_acceptance(("k",), offer, offer.proof)


@pytest.mark.parametrize("keys", [(), ("",), ("k", "")])
def test_authenticator_needs_keys(keys):
    with pytest.raises(ValueError, match="peer keys"):
        handshake.make_authenticator(keys)
