"""Builders of the run and call records of the stand-ins, for tests of the checker."""

from standins import check

HOME_REGIONS = frozenset({"aktobe", "almaty"})


def make_run(**changes) -> check.Run:
    """Return a finished run of key ``k`` at instance ``a``, with fields replaced."""
    run = check.Run(
        run="r1",
        token="t1",
        service="stock",
        tenant="default",
        key="k",
        epoch=5,
        region="almaty",
        instance="a",
        start_ms=100.0,
        end_ms=110.0,
        aborted=False,
    )
    return run._replace(**changes)


def make_call(**changes) -> check.Call:
    """Return the call that the run of `make_run` answers, with fields replaced."""
    call = check.Call(
        token="t1",
        service="stock",
        tenant="default",
        key="k",
        idempotent=False,
        home_regions=HOME_REGIONS,
        verdict="ran",
        reason="",
        status=200,
        answer_token="t1",
        served_by="a",
        sent_ms=90.0,
        received_ms=120.0,
    )
    return call._replace(**changes)
