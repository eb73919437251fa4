"""Callers with and without keys, at a daemon with scripted peers."""

import pytest

from fuchsiamoor.agent import (
    caller_requests,
    forwarding,
    nested_calls,
    state,
    watch_relay,
)
from fuchsiamoor.testing import organisations_data, traffic_data, virtual_time
from fuchsiamoor.testing.caller_requests_data import (
    RAN,
    always,
    make_agent,
    make_request,
)

KEY = organisations_data.KEY
LAB = organisations_data.ORGANISATION
PUBLIC = organisations_data.PUBLIC_TARGET
RUN_ID = "a0.b"
UNKNOWN = b"nobody's"


def _ask(request, catalog=None, prepare=lambda agent: None):
    """Return the answer to one request and the requests sent to peers."""

    async def play():
        agent = make_agent(
            always(RAN),
            "10.0.0.2",
            catalog=catalog or organisations_data.make_catalog(),
        )
        agent.source_heard_ms = agent.now_ms()
        run = traffic_data.make_carried_request(RUN_ID)
        nested_calls.start_run(agent.runs, run)
        prepare(agent)
        answer = await caller_requests.handle(agent, request)
        return answer, [message for _, message in agent.links.calls]

    return virtual_time.run(play())


@pytest.mark.parametrize(
    ("request_", "status", "organisation"),
    [
        (make_request(secret=KEY), 200, LAB),
        (make_request(secret=organisations_data.SECOND_KEY), 200, LAB),
        (make_request(secret=UNKNOWN), 401, None),
        (make_request(), 401, None),
        (make_request(PUBLIC), 200, ""),
        (make_request(PUBLIC, secret=UNKNOWN), 200, ""),
        (make_request(PUBLIC, secret=KEY), 200, LAB),
        (make_request(parent_id=RUN_ID), 200, ""),
        (make_request(parent_id=RUN_ID, secret=UNKNOWN), 401, None),
        (make_request(parent_id="other"), 503, None),
        (make_request("/elsewhere/1"), 404, None),
    ],
)
def test_a_caller_is_served_by_its_key_or_its_run(request_, status, organisation):
    answer, sent = _ask(request_)
    assert answer.status == status
    assert [message.organisation for message in sent] == (
        [] if organisation is None else [organisation]
    )


@pytest.mark.parametrize("target", ["/read/1", PUBLIC])
def test_the_key_is_not_sent_on(target):
    _, (sent,) = _ask(make_request(target, secret=KEY))
    assert KEY.decode() not in repr(sent)


def test_without_organisations_the_callers_headers_are_sent_on():
    _, (sent,) = _ask(make_request(secret=KEY), traffic_data.make_catalog())
    assert sent.headers == ((b"x-secret", KEY),)


def test_only_a_known_run_makes_calls_that_precede_others():
    _, (call,) = _ask(make_request(parent_id=RUN_ID))
    _, (forged,) = _ask(make_request(parent_id="other", secret=KEY))
    assert call.rank == forwarding.CALL_RANK
    assert forged.rank > forwarding.CALL_RANK


def _hear_of_newer_catalog(agent):
    state.note_catalog_version(agent, agent.cache.catalog.version + 1)


def _hear_nothing(agent):
    agent.source_heard_ms = agent.now_ms() - watch_relay.SOURCE_SILENT_MS - 1


@pytest.mark.parametrize("prepare", [_hear_of_newer_catalog, _hear_nothing])
@pytest.mark.parametrize(("secret", "status"), [(UNKNOWN, 503), (KEY, 200)])
def test_a_daemon_that_may_be_behind_calls_no_key_unknown(prepare, secret, status):
    answer, _ = _ask(make_request(secret=secret), prepare=prepare)
    assert answer.status == status
    assert (b"Retry-After" in dict(answer.headers)) == (status == 503)


def test_a_key_that_was_taken_away_gets_401():
    later = organisations_data.make_organisation(LAB, organisations_data.SECOND_KEY)
    answer, sent = _ask(
        make_request(secret=KEY), organisations_data.make_catalog(later)
    )
    assert (answer.status, sent) == (401, [])


@pytest.mark.parametrize(
    ("route_homes", "homes", "status"),
    [
        ((), (), 200),
        ((), ("north", "west"), 200),
        (("north", "west"), (), 200),
        (("north", "west"), ("north", "south"), 200),
        (("north",), ("west",), 503),
    ],
)
def test_home_regions_of_route_and_organisation_both_bind(route_homes, homes, status):
    organisation = organisations_data.make_organisation(home_regions=frozenset(homes))
    catalog = organisations_data.make_catalog(
        organisation, home_regions=frozenset(route_homes)
    )
    answer, sent = _ask(make_request(secret=KEY), catalog)
    assert answer.status == status
    for message in sent:
        kept = [frozenset(found) for found in (route_homes, homes) if found]
        expected = frozenset.intersection(*kept) if kept else frozenset()
        assert frozenset(message.home_regions) == expected


def test_the_priority_of_an_organisation_precedes_the_rank_of_the_route():
    ranks = []
    for priority, rank in ((0, 5), (1, 0), (1, 5), (2, 0)):
        organisation = organisations_data.make_organisation(priority=priority)
        catalog = organisations_data.make_catalog(organisation, rank=rank)
        _, (sent,) = _ask(make_request(secret=KEY), catalog)
        ranks.append(sent.rank)
    assert ranks == sorted(set(ranks))
