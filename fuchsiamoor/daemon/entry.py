"""Entry side: routes a caller's request to a member that may serve it."""

import random
from asyncio import Future
from collections.abc import Awaitable, Callable

from fuchsiamoor.core.configuration import Configuration
from fuchsiamoor.core.members import Member
from fuchsiamoor.core.messages import Answered, Forward
from fuchsiamoor.core.requests import Answer, Request
from fuchsiamoor.core.tables import ShardTable
from fuchsiamoor.daemon import entry_keyed, entry_unkeyed
from fuchsiamoor.daemon.forwarding import Entry, Links, Metrics
from fuchsiamoor.routing import (
    error_answers,
    load_balancing,
    parked_requests,
    request_validation,
    routes,
)


def make_entry(
    *,
    get_configuration: Callable[[], Configuration],
    get_table: Callable[[str], ShardTable | None],
    get_member: Callable[[str], Member | None],
    list_members: Callable[[str], list[Member]],
    own_member: Callable[[], Member],
    links: Links,
    serve_local: Callable[[Forward], Awaitable[Answered]],
    metrics: Metrics,
    now_ms: Callable[[], int],
    rng: random.Random,
) -> Entry:
    """Return the entry side of a daemon.

    Parameters
    ----------
    get_configuration : callable
        The configuration in force.
    get_table : callable
        The newest known table of a domain, None if there is none.
    get_member : callable
        A member by its id, None if it is unknown.
    list_members : callable
        The members of a service whose upstreams are ready, this one included.
    own_member : callable
    links : Links
    serve_local : callable
        Serves a forwarded request at the local upstream.
    metrics : Metrics
    now_ms : callable
        Monotonic time, in milliseconds.
    rng : random.Random
    """
    return Entry(
        get_configuration,
        get_table,
        get_member,
        list_members,
        own_member,
        links,
        serve_local,
        metrics,
        now_ms,
        rng,
    )


def handle_table_change(entry: Entry, domain: str) -> None:
    """Record a newer table of a domain and retry the domain's parked requests."""
    table = entry.get_table(domain)
    if table is not None:
        entry.change_windows[domain] = routes.record_change(
            entry.change_windows.get(domain),
            table.revision,
            entry.now_ms(),
            entry_keyed.AFTER_MOVE_MS,
        )
    _wake(parked_requests.pop_domain(entry.parking, domain))


def handle_state_change(entry: Entry) -> None:
    """Handle a changed configuration or member list.

    Drops the measurements of members that have left and retries all parked requests.
    """
    measured = entry.measurements.members
    known_ids = {member_id for member_id in measured if entry.get_member(member_id)}
    load_balancing.retain_members(entry.measurements, known_ids)
    entry.candidates_until_ms = 0
    _wake(parked_requests.pop_all(entry.parking))


async def handle(entry: Entry, request: Request) -> Answer:
    """Return the answer to a caller's request.

    Raises
    ------
    asyncio.CancelledError
        If the caller has disconnected; the cancellation has been forwarded.
    """
    configuration = entry.get_configuration()
    refused = request_validation.check_request(
        configuration, request, entry.own_member().region
    )
    if refused is not None:
        return error_answers.make_error_answer(request.request_id, refused)
    if not request.key:
        return await entry_unkeyed.handle_unkeyed(entry, request)
    return await entry_keyed.handle_keyed(entry, request)


def _wake(tickets: list[Future]) -> None:
    for ticket in tickets:
        if not ticket.done():
            ticket.set_result(None)
