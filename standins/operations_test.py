"""End-to-end tests of operator actions on real processes."""

import asyncio
import json
import secrets
import signal

from standins import deployment, programs
from standins.testing import end_to_end

# Longest time until a data centre out of service starts no more runs.
OUT_WITHIN_MS = 3_000
OBSERVED_CALLS = 300
STATE_CHANGE_EVENTS = {
    "coordinating",
    "no longer coordinating",
    "table written",
    "configuration in force",
}


async def call_operator_on(started, name, method, path, body=None):
    """Send an operator request to one instance; return the status and JSON body."""
    url = deployment.list_urls(started, "operator")[name] + path
    headers = {"Authorization": f"Bearer {started.operator_key}"}
    async with started.client.request(
        method, url, headers=headers, json=body
    ) as response:
        return response.status, await response.json(content_type=None)


async def change_configuration(started, **fields):
    """Apply the active configuration with some fields changed; return its revision."""
    _, in_force = await deployment.call_operator(started, "GET", "/v1/configuration")
    document = in_force["document"] | fields
    return await deployment.apply_configuration(started, document, in_force["revision"])


async def wait_for_revision(started, revision):
    """Wait until every daemon reports at least a configuration revision."""

    async def is_everywhere():
        answers = [
            await call_operator_on(started, n, "GET", "/v1/status")
            for n in started.instances
        ]
        return all(
            answer["configuration_revision"] >= revision for _, answer in answers
        )

    await deployment.wait_until(is_everywhere, f"revision {revision} everywhere")


async def wait_until_served_by(sender, key, instance):
    """Wait until the latest call for a key was served by an instance."""

    async def is_served_by_instance():
        calls = [call for call in sender.calls if call.key == key]
        return bool(calls) and calls[-1].served_by == instance

    await deployment.wait_until(is_served_by_instance, f"{key} served by {instance}")


def list_run_starts_ms(started, name):
    journal = started.directory / f"upstream-{name}.jsonl"
    return [
        line["start_ms"]
        for line in programs.read_json_lines(journal)
        if line["event"] == "start"
    ]


def test_data_centre_out_of_service_starts_no_runs_until_it_returns(run):
    async def scenario(started, name):
        async with end_to_end.open_caller(started, name) as sender:
            owner = end_to_end.find_busiest_owner(sender)
            out = started.instances[owner].spec["data_centre"]
            await change_configuration(started, data_centres_out=[out])
            out_since_ms = programs.monotonic_ms() + OUT_WITHIN_MS
            await asyncio.sleep(OUT_WITHIN_MS / 1000)
            await end_to_end.wait_for_calls(sender, OBSERVED_CALLS)
            late_starts_ms = [
                at_ms
                for at_ms in list_run_starts_ms(started, owner)
                if at_ms > out_since_ms
            ]
            assert late_starts_ms == []
            await change_configuration(
                started, data_centres_out=[], moves_per_minute=600
            )
            calls = len(sender.calls)

            async def is_back():
                return owner in {call.served_by for call in sender.calls[calls:]}

            await deployment.wait_until(is_back, f"{owner} serves again")
        assert end_to_end.list_verdicts(sender) == {"ran"}

    run(scenario)


def test_concurrent_configuration_changes_apply_one_and_refuse_the_other(run):
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
        async with end_to_end.open_caller(started, name) as sender:
            answers = await asyncio.gather(
                *(
                    call_operator_on(
                        started, instance, "POST", "/v1/configuration", body
                    )
                    for instance, body in zip(names, bodies, strict=True)
                )
            )
            await end_to_end.wait_for_calls(sender)
        assert sorted(status for status, _ in answers) == [200, 409]
        [accepted] = [n for n, (status, _) in enumerate(answers) if status == 200]
        await wait_for_revision(started, in_force["revision"] + 1)
        for instance in started.instances:
            _, configuration = await call_operator_on(
                started, instance, "GET", "/v1/configuration"
            )
            assert configuration["apply_id"] == bodies[accepted]["apply_id"]
        repeated = await call_operator_on(
            started, names[1], "POST", "/v1/configuration", bodies[accepted]
        )
        assert repeated == (200, {"revision": in_force["revision"] + 1})

    run(scenario)


def test_configuration_survives_the_restart_of_every_daemon(run):
    async def scenario(started, name):
        revision = await change_configuration(started, moves_per_minute=61)
        for instance in started.instances:
            deployment.send_signal(started, instance, signal.SIGKILL, ["daemon"])
        for instance in started.instances.values():
            await instance.processes["daemon"].wait()
        for instance in started.instances:
            await deployment.restore_instance(started, instance)
        await wait_for_revision(started, revision)
        async with end_to_end.open_caller(started, name) as sender:
            await end_to_end.wait_for_calls(sender)
        assert end_to_end.list_verdicts(sender) == {"ran"}

    run(scenario)


def test_override_is_unmet_while_its_instance_is_down_and_met_afterwards(run):
    key = end_to_end.KEYS[0][1]

    async def scenario(started, name):
        async with end_to_end.open_caller(started, name) as sender:
            owners = {call.served_by for call in sender.calls if call.key != key}
            held_to = sorted(owners)[0]
            held = {
                "service": end_to_end.SERVICE,
                "tenant": "default",
                "key": key,
                "hold_to": {"instance": held_to},
            }
            await change_configuration(started, overrides=[held])
            await wait_until_served_by(sender, key, held_to)
            deployment.send_signal(started, held_to, signal.SIGKILL)
            sender.urls.remove(deployment.list_urls(started)[held_to])
            await end_to_end.wait_until_all_keys_served(sender, programs.monotonic_ms())
            _, status = await deployment.call_operator(started, "GET", "/v1/status")
            assert [found["met"] for found in status["overrides"]] == [False]
            await deployment.restore_instance(started, held_to)
            await wait_until_served_by(sender, key, held_to)
            await change_configuration(started, overrides=[])

    run(scenario)


def test_steady_load_logs_only_state_changes(run):
    def read_logs(started):
        return {
            path: path.read_text() for path in started.directory.glob("daemon-*.log")
        }

    async def scenario(started, name):
        async with end_to_end.open_caller(started, name) as sender:
            before = read_logs(started)
            await end_to_end.wait_for_calls(sender, OBSERVED_CALLS)
            after = read_logs(started)
        added = [
            json.loads(line)["event"]
            for path, text in after.items()
            for line in text.removeprefix(before.get(path, "")).splitlines()
        ]
        assert set(added) <= STATE_CHANGE_EVENTS

    run(scenario)
