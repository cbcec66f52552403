"""A gang ends done while its executors are cut off; one of them crashes before the cut heals. Does the job still end?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from platform_standin import CannotRun, main, new_job

EXECUTORS = 13
# Workers are cut off and run on: a share of 0.17 at most, for 5.5 s at most.
CUT_S = 5.5
# Executors crash and come back: a share of 0.079 at most, after 5.5 s at most.
DOWN_S = 1.0
FINISH_S = 14
WORK_MS = 3_000


async def case(platform, trouble):
    record = platform.record
    await platform.start(3, ["a"] * EXECUTORS)
    await platform.wait_until_served()
    await asyncio.sleep(4)
    job = new_job()
    spec = [{"ms": WORK_MS, "gang": 2}]
    step = {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": WORK_MS, "gang": True, "antiAffinity": 1}
    answer = await platform.submit(platform.hosts[0], job, spec, [step])
    if not answer or answer[0] != 200:
        raise CannotRun("the job wasn't accepted")

    def runs():
        return [(executor, task) for executor in platform.executors for task in executor.runs if task.startswith(job)]

    async def until(condition, limit_s, what):
        began = time.monotonic()
        while not condition():
            if time.monotonic() - began > limit_s:
                raise CannotRun(what)
            await asyncio.sleep(0.01)

    await until(lambda: len(runs()) == 2, 3, "the gang didn't start")
    members = [executor for executor, _ in runs()]
    if trouble:
        # The cut may begin at any time; this one begins a little after both were called.
        await until(lambda: all(time.monotonic() - it.held_at > 0.25 for it in members), 2, "no pause between calls")
        began = time.monotonic()
        for executor in members:
            executor.link.cut()
        record.add(f"{members[0].id} and {members[1].id} are cut off from all hosts for {CUT_S} s, and run on")
        await until(lambda: not runs(), 4, "the gang didn't end")
        await asyncio.sleep(0.5)
        crash = asyncio.create_task(members[1].crash(DOWN_S))
        await asyncio.sleep(CUT_S - (time.monotonic() - began))
        for executor in members:
            executor.link.heal()
        record.add("the cut has healed")
        await crash
    # From now on nothing is disturbed.
    await asyncio.sleep(FINISH_S)
    idle_since = time.monotonic()
    idle_s = 0.0
    for _ in range(40):
        if runs():
            idle_since = time.monotonic()
        idle_s = max(idle_s, time.monotonic() - idle_since)
        await asyncio.sleep(0.2)
    state = await platform.state(platform.hosts[1], job)
    if not isinstance(state, str) or any(host.process.returncode is not None for host in platform.hosts):
        raise CannotRun("the hosts don't tell the job's state")
    used = sum(run.cpu for executor in platform.executors for run in executor.runs.values())
    record.add(
        f"{FINISH_S} s later the job is {state}; nothing of it ran for {idle_s:.1f} s, while {used} of "
        f"{EXECUTORS * 16_000} thousandths of a core were in use"
    )
    return state == "completed" or idle_s < 3


main(case)
