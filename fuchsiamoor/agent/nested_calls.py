"""Runs of the local upstream, and the calls that these runs make through this daemon.

A run whose call failed answers with a failure itself. Repeating it would make its calls
again at the service that could not take them, so the entry daemon is told and leaves it
to the caller to return. The calls of a repeated request are repeats at the service that
they call, and are charged to its retry budget.
"""

from dataclasses import dataclass

from fuchsiamoor.core.carried import CarriedRequest


@dataclass(slots=True)
class ParentRun:
    """A run of the local upstream.

    Parameters
    ----------
    is_repeat : bool
        Whether the request had reached an upstream before.
    has_failed_call : bool
        Whether any of its calls was refused or failed.
    """

    is_repeat: bool
    has_failed_call: bool = False


Runs = dict[str, ParentRun]


def start_run(runs: Runs, request: CarriedRequest) -> ParentRun:
    """Record that the upstream gets a request."""
    run = runs[request.request_id] = ParentRun(request.is_repeat)
    return run


def end_run(runs: Runs, request: CarriedRequest, run: ParentRun) -> None:
    """Forget a run, unless another one of the same request has started."""
    if runs.get(request.request_id) is run:
        del runs[request.request_id]


def record_failed_call(runs: Runs, parent_id: str) -> None:
    """Record that a call of a run was refused or failed."""
    run = runs.get(parent_id)
    if run is not None:
        run.has_failed_call = True


def is_made_by_repeat(runs: Runs, parent_id: str) -> bool:
    """Return whether a call was made by the run of a repeated request."""
    run = runs.get(parent_id)
    return run is not None and run.is_repeat
