import asyncio

from aiohttp import web
from aiohttp.test_utils import TestServer, unused_port

from fuchsiamoor.testing.standins_data import make_call
from standins import caller, check

WORKLOAD = caller.Workload(
    service="stock",
    keys=(("default", "k1"), ("default", "k2")),
    home_regions={"default": ["almaty"]},
    requests_per_s=500,
)


def test_summary_counts_verdicts_and_finds_the_longest_gap():
    calls = [
        make_call(sent_ms=0.0, received_ms=10.0),
        make_call(sent_ms=20.0, received_ms=500.0, verdict="not-run", status=503),
        make_call(sent_ms=600.0, received_ms=700.0),
        make_call(key="late", sent_ms=100.0, received_ms=120.0),
    ]
    summary = caller.summarize(calls, end_ms=800.0)
    assert summary.verdicts == {"ran": 3, "not-run": 1}
    gaps_ms = {("default", "k"): 690.0, ("default", "late"): 680.0}
    assert summary.longest_gaps_ms == gaps_ms


def test_records_the_outcome_of_every_call(tmp_path):
    async def answer(request):
        if request.headers["Fuchsiamoor-Key"] == "k2":
            request.transport.abort()
        return web.json_response(
            {"token": request.headers["Test-Token"]},
            headers={"Fuchsiamoor-Verdict": "ran"},
        )

    async def main():
        app = web.Application()
        app.router.add_route("*", "/stock/chairs", answer)
        async with TestServer(app) as server:
            urls = [f"http://127.0.0.1:{port}" for port in (server.port, unused_port())]
            sender = caller.make_caller(WORKLOAD, urls, tmp_path / "caller-1.jsonl")
            caller.start(sender)
            while len(sender.calls) < 20:
                await asyncio.sleep(0.01)
            return sender.calls, await caller.stop(sender)

    calls, summary = asyncio.run(main())
    assert check.read_calls(tmp_path) == calls
    assert summary.verdicts.keys() == {"ran", caller.NO_ANSWER}
    for call in calls:
        is_complete = call.key == "k1"
        assert call.verdict == ("ran" if is_complete else caller.NO_ANSWER)
        assert call.answer_token == (call.token if is_complete else None)
