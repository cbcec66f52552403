"""A client hands a job in at a machine that is cut off from the store, leaves, and cancels the job at another machine. Does the
cancelled job run?"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from platform_standin import CannotRun, main, new_job

# Single machines are partitioned from the store: one, silently, for 4 s at most.
CUT_S = 4.0
# Clients leave before their deadline, within 250 ms: half of the objective of the quick requests.
LEAVE_S = 0.1
CONTACT_S = 4.0
CANCEL_S = 3.0


async def case(platform, trouble):
    record = platform.record
    await platform.start(3, ["a"] * 8)
    await platform.wait_until_served()
    await asyncio.sleep(CONTACT_S + 1)
    owner = platform.owner()
    front, other = [host for host in platform.hosts if host is not owner]
    record.add(f"{owner.name} wrote to the store under a condition last; {front.name} is another machine")
    small = {"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 50}
    await platform.submit(front, new_job(), [{"ms": 50}], [small])
    job = new_job()
    began = time.monotonic()
    if trouble:
        record.add(f"{front.name} is partitioned from the store for {CUT_S} s")
        front.link.cut()
    step = {"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 2000}
    await platform.submit(front, job, [{"ms": 2000}], [step], leave_after=LEAVE_S)
    answer = await platform.call(other, "DELETE", "/desk/" + job)
    if not answer or answer[0] not in (200, 410):
        raise CannotRun("the cancelling wasn't acknowledged")
    acknowledged = record.now()
    if trouble:
        await asyncio.sleep(CUT_S - (time.monotonic() - began))
        front.link.heal()
        record.add("the partition has healed")
    await asyncio.sleep(6)
    await platform.state(other, job)
    late = [start for start in platform.starts if start.task.startswith(job) and start.at > acknowledged + CANCEL_S]
    for start in late:
        record.add(f"{start.task} started {start.at - acknowledged:.1f} s after its cancelling was acknowledged")
    return not late


main(case)
