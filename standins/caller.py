"""A load generator that sends keyed requests to random daemons and records outcomes.

The records (`check.Call`, one JSON line each) are the input of `standins.check`. If a
connection fails, the request was not sent and another daemon is tried; if all fail,
the verdict is ``not-run``. An incomplete answer or none gives the verdict `NO_ANSWER`.
"""

import asyncio
import json
import random
import secrets
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from standins import check, programs

ANSWER_TIMEOUT_MS = 15_000
NO_ANSWER = "no-answer"
NO_ANSWER_FIELDS = {"reason": "", "status": 0, "answer_token": None, "served_by": ""}


class Workload(NamedTuple):
    """The requests that a caller sends.

    Parameters
    ----------
    service : str
    keys : tuple of (str, str)
        Pairs of tenant and key; for an empty key, the key's header is left out.
    home_regions : dict of str to list of str
        Home regions of each tenant.
    requests_per_s : float
    methods : tuple of str
        ``GET`` counts as idempotent.
    run_ms : float
        Duration of each run at the upstream.
    deadline_ms : int
    """

    service: str
    keys: tuple[tuple[str, str], ...]
    home_regions: dict[str, list[str]]
    requests_per_s: float = 100
    methods: tuple[str, ...] = ("GET", "POST")
    run_ms: float = 5
    deadline_ms: int = 5000


class Summary(NamedTuple):
    """Outcomes of a caller's requests.

    Parameters
    ----------
    verdicts : dict of str to int
        Number of requests for each verdict.
    longest_gaps_ms : dict of (str, str) to float
        Longest time without a successful request, for each tenant and key.
    """

    verdicts: dict[str, int]
    longest_gaps_ms: dict[tuple[str, str], float]


@dataclass(slots=True)
class Caller:
    """A caller's state; ``urls`` may change while it sends."""

    workload: Workload
    urls: list[str]
    records: Any
    client: aiohttp.ClientSession
    rng: random.Random
    calls: list[check.Call] = field(default_factory=list)
    send_task: asyncio.Task | None = None
    pending_calls: set[asyncio.Task] = field(default_factory=set)


def summarize(calls: Iterable[check.Call], end_ms: float) -> Summary:
    """Count verdicts and find the longest gaps between successes up to ``end_ms``."""
    calls = list(calls)
    success_times_ms = defaultdict(list)
    for call in sorted(calls, key=lambda call: call.received_ms):
        times_ms = success_times_ms[call.tenant, call.key]
        if not times_ms:
            times_ms.append(call.sent_ms)
        if call.verdict == "ran" and call.status == 200:
            times_ms.append(call.received_ms)
    gaps_ms = {
        key: max(
            later - earlier
            for earlier, later in zip(
                key_times_ms, [*key_times_ms[1:], end_ms], strict=True
            )
        )
        for key, key_times_ms in success_times_ms.items()
    }
    return Summary(dict(Counter(call.verdict for call in calls)), gaps_ms)


def _parse_token(body: bytes) -> str | None:
    """Return the token that an upstream's answer echoes; None if there is none."""
    try:
        answer = json.loads(body)
    except ValueError:
        return None
    return answer.get("token") if isinstance(answer, dict) else None


async def _send_request(
    caller: Caller, method: str, headers: dict[str, str]
) -> dict[str, Any]:
    """Send one request; return the fields of `check.Call` that describe its outcome."""
    for url in caller.rng.sample(caller.urls, len(caller.urls)):
        target = f"{url}/{caller.workload.service}/chairs"
        try:
            async with caller.client.request(
                method, target, headers=headers
            ) as response:
                body = await response.read()
                verdict = response.headers.get("Fuchsiamoor-Verdict", NO_ANSWER)
                return {
                    "verdict": verdict,
                    "reason": response.headers.get("Fuchsiamoor-Reason", ""),
                    "status": response.status,
                    "answer_token": _parse_token(body),
                    "served_by": response.headers.get("Fuchsiamoor-Served-By", ""),
                }
        except aiohttp.ClientConnectorError:
            continue
        except (aiohttp.ClientError, TimeoutError):
            return NO_ANSWER_FIELDS | {"verdict": NO_ANSWER}
    return NO_ANSWER_FIELDS | {"verdict": "not-run"}


async def call_once(caller: Caller, tenant: str, key: str, method: str) -> check.Call:
    """Send one request with a unique token and record its outcome."""
    workload = caller.workload
    token = secrets.token_hex(8)
    headers = {
        "Fuchsiamoor-Tenant": tenant,
        "Fuchsiamoor-Key": key,
        "Fuchsiamoor-Deadline-Ms": str(workload.deadline_ms),
        "Idempotency-Key": token,
        "Test-Token": token,
        "Test-Run-Ms": str(workload.run_ms),
    }
    sent_ms = programs.monotonic_ms()
    if not key:
        del headers["Fuchsiamoor-Key"]
    outcome = await _send_request(caller, method, headers)
    call = check.Call(
        token=token,
        service=workload.service,
        tenant=tenant,
        key=key,
        idempotent=method == "GET",
        home_regions=frozenset(workload.home_regions[tenant]),
        sent_ms=sent_ms,
        received_ms=programs.monotonic_ms(),
        **outcome,
    )
    caller.calls.append(call)
    record = call._asdict() | {"home_regions": sorted(call.home_regions)}
    programs.append_json_line(caller.records, record)
    return call


async def _send_continuously(caller: Caller) -> None:
    """Send at the workload's rate to all keys in rounds, each in a new random order."""
    workload = caller.workload
    next_ms = programs.monotonic_ms()
    while True:
        for tenant, key in caller.rng.sample(workload.keys, len(workload.keys)):
            method = caller.rng.choice(workload.methods)
            task = asyncio.create_task(call_once(caller, tenant, key, method))
            caller.pending_calls.add(task)
            task.add_done_callback(caller.pending_calls.discard)
            next_ms += 1000 / workload.requests_per_s
            await asyncio.sleep(max(0, next_ms - programs.monotonic_ms()) / 1000)


def make_caller(
    workload: Workload, urls: list[str], path: Path, seed: int = 1
) -> Caller:
    """Return a caller that appends its records to ``path``; `stop` closes it."""
    client = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(ANSWER_TIMEOUT_MS / 1000),
    )
    return Caller(workload, list(urls), path.open("a"), client, random.Random(seed))


def start(caller: Caller) -> None:
    """Start sending at the workload's rate."""
    caller.send_task = asyncio.create_task(_send_continuously(caller))


def find_first_successes(
    caller: Caller, since_ms: float
) -> dict[tuple[str, str], check.Call]:
    """Return each key's first successful call among those sent after ``since_ms``."""
    successes: dict[tuple[str, str], check.Call] = {}
    for call in caller.calls:
        if call.verdict == "ran" and call.status == 200 and call.sent_ms > since_ms:
            successes.setdefault((call.tenant, call.key), call)
    return successes


async def stop(caller: Caller) -> Summary:
    """Stop sending, wait for the pending calls and close the caller."""
    if caller.send_task is not None:
        caller.send_task.cancel()
    end_ms = programs.monotonic_ms()
    await asyncio.gather(*caller.pending_calls)
    await caller.client.close()
    caller.records.close()
    return summarize(caller.calls, end_ms)
