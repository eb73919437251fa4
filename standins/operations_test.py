"""End-to-end tests of what operators do, on real processes."""

import asyncio
import json
import secrets
import signal

from standins import deployment, programs
from standins.testing import scenes

OUT_AFTER_MS = 3_000
STAYS_OUT_CALLS = 300
STATE_CHANGES = {
    "coordinating",
    "no longer coordinating",
    "table written",
    "configuration in force",
}


async def ask(started, name, method, path, body=None):
    url = deployment.list_urls(started, "operator")[name] + path
    headers = {"Authorization": f"Bearer {started.operator_key}"}
    async with started.client.request(
        method, url, headers=headers, json=body
    ) as response:
        return response.status, await response.json(content_type=None)


async def change(started, **fields):
    """Apply the configuration in force with some fields changed."""
    _, in_force = await deployment.call_operator(started, "GET", "/v1/configuration")
    document = in_force["document"] | fields
    return await deployment.apply_configuration(started, document, in_force["revision"])


async def wait_for_revision(started, revision):
    """Wait until every daemon says that a revision is in force."""

    async def is_everywhere():
        answers = [
            await ask(started, n, "GET", "/v1/status") for n in started.instances
        ]
        return all(
            answer["configuration_revision"] >= revision for _, answer in answers
        )

    await deployment.wait_until(is_everywhere, f"revision {revision} everywhere")


async def wait_for_server(sender, key, instance):
    """Wait until the latest answer for a key came from an instance."""

    async def is_server():
        calls = [call for call in sender.calls if call.key == key]
        return bool(calls) and calls[-1].served_by == instance

    await deployment.wait_until(is_server, f"{key} served by {instance}")


def list_starts(started, name):
    journal = started.directory / f"upstream-{name}.jsonl"
    return [
        line["start_ms"]
        for line in programs.read_lines(journal)
        if line["event"] == "start"
    ]


def test_data_centre_taken_out_gets_no_new_work_and_comes_back(run):
    async def scenario(started, name):
        async with scenes.open_caller(started, name) as sender:
            owner = scenes.busiest_owner(sender)
            out = started.instances[owner].spec["data_centre"]
            await change(started, data_centres_out=[out])
            out_ms = programs.monotonic_ms() + OUT_AFTER_MS
            await asyncio.sleep(OUT_AFTER_MS / 1000)
            await scenes.wait_for_calls(sender, STAYS_OUT_CALLS)
            late = [at_ms for at_ms in list_starts(started, owner) if at_ms > out_ms]
            assert late == []
            await change(started, data_centres_out=[], moves_per_minute=600)
            calls = len(sender.calls)

            async def is_back():
                return owner in {call.served_by for call in sender.calls[calls:]}

            await deployment.wait_until(is_back, f"{owner} serves again")
        assert scenes.verdicts_of(sender) == {"ran"}

    run(scenario)


def test_one_of_two_racing_operators_wins_and_the_other_is_told(run):
    async def scenario(started, name):
        _, in_force = await deployment.call_operator(
            started, "GET", "/v1/configuration"
        )
        bodies = [
            {
                "based_on": in_force["revision"],
                "apply_id": secrets.token_hex(8),
                "document": in_force["document"] | {"moves_per_minute": moves},
            }
            for moves in (50, 70)
        ]
        names = list(started.instances)[:2]
        async with scenes.open_caller(started, name) as sender:
            answers = await asyncio.gather(
                *(
                    ask(started, instance, "POST", "/v1/configuration", body)
                    for instance, body in zip(names, bodies, strict=True)
                )
            )
            await scenes.wait_for_calls(sender)
        assert sorted(status for status, _ in answers) == [200, 409]
        [won] = [n for n, (status, _) in enumerate(answers) if status == 200]
        await wait_for_revision(started, in_force["revision"] + 1)
        for instance in started.instances:
            _, known = await ask(started, instance, "GET", "/v1/configuration")
            assert known["apply_id"] == bodies[won]["apply_id"]
        repeated = await ask(
            started, names[1], "POST", "/v1/configuration", bodies[won]
        )
        assert repeated == (200, {"revision": in_force["revision"] + 1})

    run(scenario)


def test_configuration_survives_the_restart_of_every_daemon(run):
    async def scenario(started, name):
        revision = await change(started, moves_per_minute=61)
        for instance in started.instances:
            deployment.send_signal(started, instance, signal.SIGKILL, ["daemon"])
        for instance in started.instances.values():
            await instance.processes["daemon"].wait()
        for instance in started.instances:
            await deployment.restore_instance(started, instance)
        await wait_for_revision(started, revision)
        async with scenes.open_caller(started, name) as sender:
            await scenes.wait_for_calls(sender)
        assert scenes.verdicts_of(sender) == {"ran"}

    run(scenario)


def test_held_key_returns_to_its_instance_and_is_told_unmet_meanwhile(run):
    key = scenes.KEYS[0][1]

    async def scenario(started, name):
        async with scenes.open_caller(started, name) as sender:
            owners = {call.served_by for call in sender.calls if call.key != key}
            held_to = sorted(owners)[0]
            held = {
                "service": scenes.SERVICE,
                "tenant": "default",
                "key": key,
                "hold_to": {"instance": held_to},
            }
            await change(started, overrides=[held])
            await wait_for_server(sender, key, held_to)
            deployment.send_signal(started, held_to, signal.SIGKILL)
            sender.urls.remove(deployment.list_urls(started)[held_to])
            await scenes.wait_for_every_key(sender, programs.monotonic_ms())
            _, status = await deployment.call_operator(started, "GET", "/v1/status")
            assert [found["met"] for found in status["overrides"]] == [False]
            await deployment.restore_instance(started, held_to)
            await wait_for_server(sender, key, held_to)
            await change(started, overrides=[])

    run(scenario)


def test_steady_load_writes_lines_for_changes_of_state_only(run):
    def read_logs(started):
        return {
            path: path.read_text() for path in started.directory.glob("daemon-*.log")
        }

    async def scenario(started, name):
        async with scenes.open_caller(started, name) as sender:
            before = read_logs(started)
            await scenes.wait_for_calls(sender, STAYS_OUT_CALLS)
            after = read_logs(started)
        added = [
            json.loads(line)["event"]
            for path, text in after.items()
            for line in text.removeprefix(before.get(path, "")).splitlines()
        ]
        assert set(added) <= STATE_CHANGES

    run(scenario)
