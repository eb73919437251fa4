"""Entry: takes a caller's request to a member that may serve it."""

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
        The newest table known of a domain, None if there is none.
    get_member : callable
        A member by its id, None if it is unknown.
    list_members : callable
        The members of a service whose upstreams are ready, this one included.
    own_member : callable
    links : Links
    serve_local : callable
        Serves at the upstream beside this daemon.
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
    """Take in a new table, and send the domain's parked requests on their way again."""
    table = entry.get_table(domain)
    if table is not None:
        entry.changes[domain] = routes.record_change(
            entry.changes.get(domain),
            table.revision,
            entry.now_ms(),
            entry_keyed.CROWD_MS,
        )
    _release(parked_requests.pop_domain(entry.parking, domain))


def handle_state_change(entry: Entry) -> None:
    """Take in that configuration or members changed.

    Parked requests are sent on their way again, and members that are gone forgotten.
    """
    measured = entry.measurements.members
    kept = {member_id for member_id in measured if entry.get_member(member_id)}
    load_balancing.retain_members(entry.measurements, kept)
    entry.candidates_until_ms = 0
    _release(parked_requests.pop_all(entry.parking))


async def handle(entry: Entry, request: Request) -> Answer:
    """Answer a caller's request.

    Raises
    ------
    asyncio.CancelledError
        When the caller has gone; the cancellation has been passed on.
    """
    configuration = entry.get_configuration()
    refused = request_validation.check_request(
        configuration, request, entry.own_member().region
    )
    if refused is not None:
        return error_answers.make_error_answer(request.request_id, refused)
    if not request.key:
        return await entry_unkeyed.handle_any(entry, request)
    return await entry_keyed.handle_keyed(entry, request)


def _release(tickets: list[Future]) -> None:
    for ticket in tickets:
        if not ticket.done():
            ticket.set_result(None)
