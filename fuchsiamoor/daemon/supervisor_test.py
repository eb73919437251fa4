import asyncio

import pytest

from fuchsiamoor.daemon import supervisor

POLICY = supervisor.RestartPolicy(0, 0, max_restarts=3, window_ms=1_000)


def _run(child_run, policy=POLICY):
    failures = []

    async def main():
        await supervisor.supervise(
            [supervisor.Child("child", child_run)],
            lambda name, error: failures.append((name, str(error))),
            lambda: 0,
            policy,
        )

    return main, failures


def test_failed_child_is_restarted():
    runs = []

    async def child():
        runs.append(len(runs))
        if len(runs) < 3:
            raise ValueError(f"run {len(runs)}")

    main, failures = _run(child)
    asyncio.run(main())
    assert runs == [0, 1, 2]
    assert failures == [("child", "run 1"), ("child", "run 2")]


def test_child_that_fails_too_often_fails_its_supervisor():
    async def child():
        raise ValueError("always")

    main, failures = _run(child)
    with pytest.raises(ExceptionGroup):
        asyncio.run(main())
    assert len(failures) == 4


def test_failures_outside_the_window_do_not_count():
    times = iter(range(0, 100_000, 2_000))
    runs = []

    async def child():
        runs.append(1)
        if len(runs) < 10:
            raise ValueError("rare")

    async def main():
        await supervisor.supervise(
            [supervisor.Child("child", child)],
            lambda name, error: None,
            lambda: next(times),
            POLICY,
        )

    asyncio.run(main())
    assert len(runs) == 10
