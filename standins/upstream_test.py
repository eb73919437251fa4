import asyncio
import io
import json
import time
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from standins import programs, upstream

OPTIONS = [
    *("--service", "stock", "--instance", "a", "--region", "almaty"),
    *("--data-centre", "almaty-1", "--journal", "."),
]


def make_state(*arguments):
    options = upstream.make_parser().parse_args(
        [*OPTIONS, "--ramp-ms", "0", *arguments]
    )
    return upstream.State(options, io.StringIO())


@asynccontextmanager
async def open_upstream(state):
    async with TestClient(TestServer(upstream.make_app(state))) as client:

        async def send(run_ms=1, **headers):
            named_headers = {
                name.replace("_", "-"): str(headers[name]) for name in headers
            }
            named_headers["Test-Run-Ms"] = str(run_ms)
            async with client.post("/book", headers=named_headers) as response:
                body = await response.json()
                return response.headers.get(
                    "Fuchsiamoor-Not-Run", response.status
                ), body

        async def control(kind, **body):
            async with client.post(f"/_control/{kind}", json=body) as response:
                assert response.status == 200

        yield client, send, control


def run(scenario, *options):
    state = make_state(*options)

    async def main():
        async with open_upstream(state) as (client, send, control):
            await scenario(client, send, control)

    asyncio.run(main())
    return [json.loads(line) for line in state.journal.getvalue().splitlines()]


def grant(epoch, shard=7, lease_ms=60_000):
    return {
        "Test_Token": "t1",
        "Fuchsiamoor_Key": "k",
        "Fuchsiamoor_Tenant": "default",
        "Fuchsiamoor_Domain": "stock@almaty",
        "Fuchsiamoor_Shard": shard,
        "Fuchsiamoor_Epoch": epoch,
        "Fuchsiamoor_Lease_Until_Ms": int(time.time() * 1000 + lease_ms),
    }


def test_answer_echoes_the_request_and_journal_records_the_run():
    async def scenario(client, send, control):
        status, body = await send(**grant(5))
        assert status == 200
        assert body == {"token": "t1", "key": "k", "instance": "a", "epoch": 5}

    start, end = run(scenario, "--checks-grants")
    assert (start["tenant"], start["data_centre"]) == ("default", "almaty-1")
    assert start["run"] == end["run"]
    assert start["start_ms"] < end["end_ms"] and end["aborted"] == ""


def test_refuses_superseded_epochs_expired_leases_and_missing_grants():
    async def scenario(client, send, control):
        await control("grant", domain="stock@almaty", shards=[[7, 6]], until_ms=0)
        assert (await send(**grant(5)))[0] == "fenced"
        assert (await send(**grant(6)))[0] == 200
        assert (await send(**grant(5, shard=8)))[0] == 200
        assert (await send(**grant(6, lease_ms=-1)))[0] == "fenced"
        assert (await send(Fuchsiamoor_Key="k"))[0] == "fenced"

    assert len(run(scenario, "--checks-grants")) == 4


def test_run_that_ends_after_its_lease_is_aborted():
    async def scenario(client, send, control):
        assert (await send(80, **grant(5, lease_ms=40)))[0] == "fenced"

    assert run(scenario, "--checks-grants")[1]["aborted"] == "fenced"


def test_run_is_aborted_when_a_higher_epoch_is_granted_meanwhile():
    async def scenario(client, send, control):
        slow_request = asyncio.create_task(send(200, **grant(5)))
        while len(await load(client)) == 0:
            await asyncio.sleep(0.001)
        await control("grant", domain="stock@almaty", shards=[[7, 9]], until_ms=0)
        assert (await slow_request)[0] == "fenced"

    async def load(client):
        async with client.get("/_control/load") as response:
            return [()] * (await response.json())["in_flight"]

    run(scenario, "--checks-grants")


def test_refuses_requests_past_deadline_while_draining_and_over_its_slots():
    async def scenario(client, send, control):
        after_deadline = await send(
            Fuchsiamoor_Deadline_At_Ms=int(time.time() * 1000) - 1
        )
        assert after_deadline[0] == "deadline"
        answers = await asyncio.gather(*(send(100) for _ in range(3)))
        assert sorted(str(status) for status, _ in answers) == ["200", "200", "shed"]
        await control("drain")
        assert (await send())[0] == "draining"
        async with client.get("/_control/health") as response:
            assert await response.json() == {"ready": False}

    assert len(run(scenario, "--slots", "2")) == 4


def test_cancel_aborts_the_run():
    async def scenario(client, send, control):
        slow_request = asyncio.create_task(send(60_000, Fuchsiamoor_Request_Id="r1"))
        while not slow_request.done():
            await control("cancel", request_id="r1")
        assert (await slow_request)[0] == "cancelled"

    assert run(scenario)[1]["aborted"] == "cancelled"


def test_cold_upstream_fails_requests_over_its_capacity():
    async def scenario(client, send, control):
        await control("fault", go_cold=True)
        assert (await send())[0] == 200
        answers = await asyncio.gather(*(send(20) for _ in range(4)))
        assert sorted(status for status, _ in answers) == [200, 200, 500, 500]

    run(scenario, "--ramp-ms", "600000")


def test_faults_falsify_health_and_truncate_delay_and_freeze_answers():
    async def scenario(client, send, control):
        await control("fault", report_ready=True, report_in_flight=0, truncate_count=1)
        await control("drain")
        async with client.get("/_control/health") as response:
            assert await response.json() == {"ready": True}
        await control("fault", report_ready=None)

    run(scenario)

    async def truncated_scenario(client, send, control):
        await control("fault", truncate_count=1, late_count=1, late_ms=10)
        with pytest.raises(aiohttp.ClientPayloadError):
            await send()
        sent_ms = programs.monotonic_ms()
        await control("fault", freeze_ms=150)
        await asyncio.sleep(0.02)
        assert (await send())[0] == 200
        assert programs.monotonic_ms() - sent_ms >= 150

    run(truncated_scenario)


def test_announces_itself_and_announces_its_departure_before_it_stops(tmp_path):
    announcements = []

    async def record_announcement(request):
        announcements.append((request.path, await request.json()))
        return web.json_response({"accepted": True})

    async def main():
        app = web.Application()
        app.router.add_post("/v1/{kind}", record_announcement)
        async with TestServer(app) as daemon:
            process = await programs.start_program(
                "standins.upstream",
                *OPTIONS[:-1],
                str(tmp_path),
                "--announce",
                f"127.0.0.1:{daemon.port}",
            )
            while not announcements:
                await asyncio.sleep(0.01)
            process.terminate()
            assert await process.wait() == 0

    asyncio.run(main())
    paths = [path for path, _ in announcements]
    assert paths[0] == "/v1/announce" and paths[-1] == "/v1/leave"
    announced, departure = announcements[0][1], announcements[-1][1]
    assert announced["instance"] == "a" and announced["slots"] == 20
    assert departure == {"incarnation": announced["incarnation"]}
