import asyncio

import pytest

from fuchsiamoor.core import errors
from fuchsiamoor.daemon import metrics as daemon_metrics
from fuchsiamoor.daemon import store_metrics
from fuchsiamoor.reports import metric_names


class FailingStore:
    def __init__(self, error):
        self.error = error

    def __getattr__(self, name):
        async def call(*_):
            if self.error is not None:
                raise self.error
            return name

        return call


CALLS = {
    "get": ("k",),
    "list_prefix": ("k",),
    "swap": ("k", 0, b""),
    "delete": ("k", 1),
    "watch": ("k", 0, 1),
    "grant_lease": (1,),
    "renew_lease": ("l",),
    "revoke_lease": ("l",),
}


@pytest.mark.parametrize("name", CALLS)
@pytest.mark.parametrize(
    ("error", "counted"),
    [
        (None, None),
        (errors.StoreUnavailableError(), metric_names.STORE_UNAVAILABLE),
        (errors.StoreOutcomeUnknownError(), metric_names.STORE_OUTCOME_UNKNOWN),
    ],
)
def test_every_call_is_counted_and_forwarded(name, error, counted):
    metrics = daemon_metrics.make_metrics(None)
    store = store_metrics.make_counted_store(FailingStore(error), metrics)
    call = getattr(store, name)(*CALLS[name])
    if error is None:
        assert asyncio.run(call) == name
    else:
        with pytest.raises(type(error)):
            asyncio.run(call)
        assert metrics.totals[counted] == 1
    assert metrics.totals[metric_names.STORE_CALLS] == 1
    timing_count = metrics.timing_counts[metric_names.STORE_TIME]
    assert timing_count == (0 if name == "watch" else 1)
