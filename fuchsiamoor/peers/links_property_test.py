"""Links under random schedules of calls, cancellations, broken links and restarts."""

import asyncio
import collections

from hypothesis import given, settings
from hypothesis import strategies as st

from fuchsiamoor.core import messages
from fuchsiamoor.core.addresses import Address
from fuchsiamoor.core.errors import PeerError, PeerUnreachableError
from fuchsiamoor.peers import links
from fuchsiamoor.testing import messages_data

KEYS = ("key-1",)
ANY_PORT = Address("127.0.0.1", 0)

steps = st.lists(
    st.tuples(
        st.sampled_from(
            ["call", "short call", "cancel", "break by b", "break by a", "restart b"]
        ),
        st.integers(0, 9),
        st.integers(0, 3),
    ),
    min_size=1,
    max_size=12,
)


class MemberPair:
    """Two members, the calls of the first, and a count of handled messages."""

    def __init__(self):
        self.handled = collections.Counter()
        self.calls = {}
        self.a = links.make_links(
            "a#1", KEYS, self.handle, messages_data.CountingMetrics()
        )
        self.b = None
        self.member = None

    async def handle(self, _sender, message):
        self.handled[message.domain] += 1
        for _ in range(int(message.domain.partition("/")[2])):
            await asyncio.sleep(0.001)
        return message

    async def start_b(self, address=ANY_PORT):
        self.b = links.make_links(
            "b#1", KEYS, self.handle, messages_data.CountingMetrics()
        )
        self.member = messages_data.make_member(
            "b#1", await links.serve(self.b, address)
        )

    def start_call(self, turns, timeout_ms):
        name = f"{len(self.calls)}/{turns}"
        call = self.a.call(self.member, messages.FetchTable(name), timeout_ms)
        self.calls[name] = asyncio.create_task(call)

    async def run_step(self, step, number):
        match step:
            case "call":
                self.start_call(number, 2000)
            case "short call":
                self.start_call(number, 1)
            case "cancel" if self.calls:
                list(self.calls.values())[-1 - number % len(self.calls)].cancel()
            case "break by b":
                for link in self.b.acceptor.open_links.values():
                    link.connection.transport.abort()
            case "break by a":
                for link in self.a.dialler.links.values():
                    if link.connection is not None:
                        link.connection.transport.abort()
            case "restart b":
                await self.b.close(0)
                await self.start_b(self.member.peer_address)

    def check(self, name, call):
        """Assert that the result of a call agrees with what the peer handled."""
        assert self.handled[name] <= 1
        if call.cancelled():
            return
        error = call.exception()
        if error is None:
            assert call.result() == messages.FetchTable(name)
            assert self.handled[name] == 1
            return
        assert isinstance(error, PeerError)
        if isinstance(error, PeerUnreachableError):
            assert self.handled[name] == 0


@given(steps)
@settings(max_examples=25)
def test_each_call_is_handled_at_most_once_and_its_result_is_accurate(schedule):
    async def scenario():
        pair = MemberPair()
        await pair.start_b()
        pair.start_call(0, 2000)
        await asyncio.wait(pair.calls.values())
        for step, number, pause_ms in schedule:
            pair.start_call(5, 2000)
            await asyncio.sleep(pause_ms / 1000)
            await pair.run_step(step, number)
        await asyncio.wait(pair.calls.values())
        await asyncio.sleep(0.02)
        for name, call in pair.calls.items():
            pair.check(name, call)
        assert all(not link.calls for link in pair.a.dialler.links.values())
        await pair.a.close(0)
        await pair.b.close(0)

    asyncio.run(scenario())
