"""Builders of peer messages and members, and Hypothesis strategies for them."""

import collections
import typing

from hypothesis import strategies as st

from fuchsiamoor.core import members, messages, requests, verdicts
from fuchsiamoor.core.addresses import Address

_UINT64 = st.integers(0, 2**64 - 1)


def message_strategy() -> st.SearchStrategy:
    """Return a strategy for peer messages of every kind."""
    st.register_type_strategy(int, _UINT64)
    return st.one_of(*map(_record_strategy, messages.KINDS.values()))


def member_strategy() -> st.SearchStrategy:
    """Return a strategy for members."""
    return _record_strategy(members.Member)


def _record_strategy(record_type: type) -> st.SearchStrategy:
    hints = typing.get_type_hints(record_type)
    return st.builds(
        record_type, **{name: _field_strategy(hint) for name, hint in hints.items()}
    )


def _field_strategy(hint: object) -> st.SearchStrategy:
    if hint is int:
        return _UINT64
    if isinstance(hint, type) and hasattr(hint, "_fields"):
        return _record_strategy(hint)
    return st.from_type(hint)


def make_request(**changes: object) -> requests.Request:
    """Return a keyed request with fields replaced."""
    request = requests.Request(
        request_id="r-1",
        service="booking",
        tenant="dala",
        key="chair-1",
        idempotency_key="",
        method="POST",
        path="/book?x=1",
        headers=((b"content-type", b"application/json"),),
        body=b'{"chair": 1}',
        deadline_ms=1000,
        idempotent=False,
    )
    return request._replace(**changes)


def make_answer(request_id: str = "r-1", **changes: object) -> requests.Answer:
    """Return a successful answer with fields replaced."""
    answer = requests.Answer(request_id, verdicts.Ran(), 200, (), b"ok", "almaty-1-a")
    return answer._replace(**changes)


def make_forward(**changes: object) -> messages.Forward:
    """Return a forwarded request with fields of the request replaced."""
    return messages.Forward(make_request(**changes), "booking@almaty", 3, 1, 1, 7)


def make_member(member_id: str, peer_address: Address) -> members.Member:
    """Return a member whose peer address is given."""
    unused_address = Address("127.0.0.1", 0)
    return members.Member(
        member_id=member_id,
        instance=members.instance_of(member_id),
        service="booking",
        region="almaty",
        data_centre="almaty-1",
        peer_address=peer_address,
        caller_address=unused_address,
        operator_address=unused_address,
        checks_grants=True,
        slots=20,
        connections=130,
    )


class CountingMetrics:
    """Metrics that count events by name in ``counts``."""

    def __init__(self):
        self.counts = collections.Counter()

    def count(self, name: str, n: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += n
