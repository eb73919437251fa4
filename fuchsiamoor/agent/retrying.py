"""Decides whether a request is retried, within a retry budget shared by all daemons."""

from fuchsiamoor.agent import registrations, state
from fuchsiamoor.agent.attempts import Attempts
from fuchsiamoor.core.carried import CarriedAnswer
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.routing import retry_budget
from fuchsiamoor.traffic import catalog

# Share of the deployment's retry budget that is used: each daemon only estimates its
# part of the budget.
BUDGET_SHARE = 0.6


def decide_retry(
    agent: state.Agent,
    route: catalog.Route,
    service: str,
    target: registrations.Registration,
    attempts: Attempts,
    outcome: CarriedAnswer,
) -> bool:
    """Record the outcome of an attempt and return whether the request is sent again."""
    if not state.is_keyed(agent, service):
        attempts.tried.add(target.instance)
    match outcome.verdict:
        case Ran():
            attempts.has_run = True
            # With requests waiting, a retry would delay another request's first run.
            has_room = outcome.load.waiting == 0
            failed = outcome.status == 500 and route.is_idempotent and has_room
            failed = failed and not outcome.has_failed_call
            return failed and _spend_retry(agent, route, service, attempts)
        case MayHaveRun():
            attempts.may_have_run = outcome.verdict
            return route.is_idempotent and _spend_retry(agent, route, service, attempts)
        case NotRun(Reason.BAD_REQUEST):
            return False
        case NotRun(Reason.DEADLINE_PASSED):
            # What is left is too short for a run, so its caller is told at once.
            attempts.refusals += 1
            return False
        case NotRun(reason):
            attempts.refusals += 1
            if outcome.retry_after_ms:
                known_ms = attempts.retry_after_ms or outcome.retry_after_ms
                attempts.retry_after_ms = min(known_ms, outcome.retry_after_ms)
            if outcome.has_arrived:
                return _spend_retry(agent, route, service, attempts)
            if state.is_keyed(agent, service):
                # For any other reason the owner is overloaded, and no other instance
                # may run the request.
                return reason in (
                    Reason.NOT_OWNER,
                    Reason.FENCED,
                    Reason.NO_UPSTREAM,
                    Reason.SHUTTING_DOWN,
                    Reason.CONNECT_FAILED,
                )
            return True


def _spend_retry(
    agent: state.Agent, route: catalog.Route, service: str, attempts: Attempts
) -> bool:
    """Spend one retry; False if the route's attempts or the budget are used up."""
    if attempts.arrivals >= route.attempts_max:
        return False
    if not retry_budget.spend(find_budget(agent, service)):
        agent.metrics.count("budget.empty")
        return False
    return True


def find_budget(agent: state.Agent, service: str) -> retry_budget.Budget:
    """Return this daemon's share of the retry budget of a service."""
    found = agent.retry_budgets.get(service)
    if found is None:
        found = agent.retry_budgets[service] = retry_budget.make_budget(0.0)
    daemons = max(len(agent.cache.directory.registered), 1)
    found.tokens_max = max(
        1.0, BUDGET_SHARE * agent.settings.bounds.retry_spare / daemons
    )
    return found


def charge_budget(agent: state.Agent, service: str) -> None:
    """Charge the retry budget for a request that counts as a retry at the service."""
    retry_budget.charge(find_budget(agent, service))


def credit_budget(agent: state.Agent, service: str) -> None:
    """Credit the retry budget for one request, with a fraction of a retry."""
    ratio = BUDGET_SHARE * agent.settings.bounds.retry_ratio
    retry_budget.earn(find_budget(agent, service), ratio)
