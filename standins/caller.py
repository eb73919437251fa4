"""A caller that sends keyed requests to random daemons and records every ending.

The records (`check.Call`, one JSON line each) are for `standins.check`. A request that
no daemon accepted a connection for was never sent and is tried at another daemon. An
ending without a whole answer is recorded with the verdict `NO_ANSWER`.
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
NOTHING = {"reason": "", "status": 0, "answer_token": None, "served_by": ""}


class Workload(NamedTuple):
    """What a caller sends.

    Parameters
    ----------
    service : str
    keys : tuple of (str, str)
        Tenants and keys to choose from; an empty key is left out.
    home_regions : dict of str to list of str
        Home regions of each tenant.
    requests_per_s : float
    methods : tuple of str
        ``GET`` counts as idempotent.
    run_ms : float
        Time that each run takes at the upstream.
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
    """What came of a caller's requests.

    Parameters
    ----------
    verdicts : dict of str to int
    longest_gaps_ms : dict of (str, str) to float
        Longest time without a success, for each tenant and key.
    """

    verdicts: dict[str, int]
    longest_gaps_ms: dict[tuple[str, str], float]


@dataclass(slots=True)
class Caller:
    """A caller at work; ``urls`` may change while it runs."""

    workload: Workload
    urls: list[str]
    file: Any
    client: aiohttp.ClientSession
    rng: random.Random
    calls: list[check.Call] = field(default_factory=list)
    sending: asyncio.Task | None = None
    unanswered: set[asyncio.Task] = field(default_factory=set)


def summarize(calls: Iterable[check.Call], ends_ms: float) -> Summary:
    """Count verdicts and find the longest gaps up to ``ends_ms``."""
    calls = list(calls)
    moments = defaultdict(list)
    for call in sorted(calls, key=lambda call: call.received_ms):
        place = moments[call.tenant, call.key]
        if not place:
            place.append(call.sent_ms)
        if call.verdict == "ran" and call.status == 200:
            place.append(call.received_ms)
    gaps_ms = {
        place: max(
            later - earlier
            for earlier, later in zip(found, [*found[1:], ends_ms], strict=True)
        )
        for place, found in moments.items()
    }
    return Summary(dict(Counter(call.verdict for call in calls)), gaps_ms)


def _find_token(body: bytes) -> str | None:
    """Return the token that an upstream's answer echoes, None in a refusal."""
    try:
        answer = json.loads(body)
    except ValueError:
        return None
    return answer.get("token") if isinstance(answer, dict) else None


async def _exchange(
    caller: Caller, method: str, headers: dict[str, str]
) -> dict[str, Any]:
    """Send one request; return what `check.Call` tells of its ending."""
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
                    "answer_token": _find_token(body),
                    "served_by": response.headers.get("Fuchsiamoor-Served-By", ""),
                }
        except aiohttp.ClientConnectorError:
            continue
        except (aiohttp.ClientError, TimeoutError):
            return NOTHING | {"verdict": NO_ANSWER}
    return NOTHING | {"verdict": "not-run"}


async def call_once(caller: Caller, tenant: str, key: str, method: str) -> check.Call:
    """Send one request with a token of its own and record its ending."""
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
    ending = await _exchange(caller, method, headers)
    call = check.Call(
        token=token,
        service=workload.service,
        tenant=tenant,
        key=key,
        idempotent=method == "GET",
        home_regions=frozenset(workload.home_regions[tenant]),
        sent_ms=sent_ms,
        received_ms=programs.monotonic_ms(),
        **ending,
    )
    caller.calls.append(call)
    record = call._asdict() | {"home_regions": sorted(call.home_regions)}
    programs.append_line(caller.file, record)
    return call


async def _send_steadily(caller: Caller) -> None:
    """Send to all keys in turn, in an order that is new in every round."""
    workload = caller.workload
    next_ms = programs.monotonic_ms()
    while True:
        for tenant, key in caller.rng.sample(workload.keys, len(workload.keys)):
            method = caller.rng.choice(workload.methods)
            task = asyncio.create_task(call_once(caller, tenant, key, method))
            caller.unanswered.add(task)
            task.add_done_callback(caller.unanswered.discard)
            next_ms += 1000 / workload.requests_per_s
            await asyncio.sleep(max(0, next_ms - programs.monotonic_ms()) / 1000)


def make_caller(
    workload: Workload, urls: list[str], path: Path, seed: int = 1
) -> Caller:
    """Return a caller that records to ``path``; `stop` closes it."""
    client = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=True),
        timeout=aiohttp.ClientTimeout(ANSWER_TIMEOUT_MS / 1000),
    )
    return Caller(workload, list(urls), path.open("a"), client, random.Random(seed))


def start(caller: Caller) -> None:
    """Begin to send at the workload's rate."""
    caller.sending = asyncio.create_task(_send_steadily(caller))


def find_served(caller: Caller, since_ms: float) -> dict[tuple[str, str], check.Call]:
    """Return the first success of each key among the requests sent since a moment."""
    served: dict[tuple[str, str], check.Call] = {}
    for call in caller.calls:
        if call.verdict == "ran" and call.status == 200 and call.sent_ms > since_ms:
            served.setdefault((call.tenant, call.key), call)
    return served


async def stop(caller: Caller) -> Summary:
    """Send no more, wait for the answers that are due and close."""
    if caller.sending is not None:
        caller.sending.cancel()
    ends_ms = programs.monotonic_ms()
    await asyncio.gather(*caller.unanswered)
    await caller.client.close()
    caller.file.close()
    return summarize(caller.calls, ends_ms)
