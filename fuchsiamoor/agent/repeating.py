"""Repeating: whether a request goes to another upstream, within a shared budget."""

from fuchsiamoor.agent import registrations, state
from fuchsiamoor.agent.attempts import Attempts
from fuchsiamoor.core.carried import CarriedAnswer
from fuchsiamoor.core.verdicts import MayHaveRun, NotRun, Ran, Reason
from fuchsiamoor.routing import budget
from fuchsiamoor.traffic import catalog

# Repeats are kept below what the deployment allows, as daemons share by estimate.
BUDGET_SHARE = 0.6


def goes_on(
    agent: state.Agent,
    route: catalog.Route,
    service: str,
    target: registrations.Registration,
    attempts: Attempts,
    ended: CarriedAnswer,
) -> bool:
    """Decide whether a request is sent again after an ending."""
    if not state.is_keyed(agent, service):
        attempts.tried.add(target.instance)
    match ended.verdict:
        case Ran():
            # Where others wait, a second run takes the place of somebody's first.
            has_room = ended.load.waiting == 0
            failed = ended.status == 500 and route.is_idempotent and has_room
            return failed and _may_repeat(agent, route, service, attempts)
        case MayHaveRun():
            attempts.may_have_run = ended.verdict
            return route.is_idempotent and _may_repeat(agent, route, service, attempts)
        case NotRun(Reason.BAD_REQUEST):
            return False
        case NotRun(reason):
            attempts.refusals += 1
            if ended.retry_after_ms:
                known_ms = attempts.retry_after_ms or ended.retry_after_ms
                attempts.retry_after_ms = min(known_ms, ended.retry_after_ms)
            if ended.has_arrived:
                return _may_repeat(agent, route, service, attempts)
            if state.is_keyed(agent, service):
                # The owner has no room: nobody else may run it.
                return reason in (
                    Reason.NOT_OWNER,
                    Reason.FENCED,
                    Reason.NO_UPSTREAM,
                    Reason.SHUTTING_DOWN,
                    Reason.CONNECT_FAILED,
                )
            return True


def _may_repeat(
    agent: state.Agent, route: catalog.Route, service: str, attempts: Attempts
) -> bool:
    """Take one more sending from the budget; False if there is none left."""
    if attempts.arrivals >= route.attempts_max:
        return False
    if not budget.spend(find_budget(agent, service)):
        agent.metrics.count("budget.empty")
        return False
    return True


def find_budget(agent: state.Agent, service: str) -> budget.Budget:
    """Return this daemon's share of the budget for repeats to a service."""
    found = agent.retry_budgets.get(service)
    if found is None:
        found = agent.retry_budgets[service] = budget.make_budget(0.0)
    daemons = max(len(agent.cache.directory.registered), 1)
    found.tokens_max = max(
        1.0, BUDGET_SHARE * agent.settings.bounds.retry_spare / daemons
    )
    return found


def earn(agent: state.Agent, service: str) -> None:
    """Count a request, which earns a part of a repeat."""
    ratio = BUDGET_SHARE * agent.settings.bounds.retry_ratio
    budget.earn(find_budget(agent, service), ratio)
