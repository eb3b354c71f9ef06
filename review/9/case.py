"""A front machine is partitioned from all replicas, and one of those that help it is restarted."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib-2"))
from fleet import TROUBLE, CannotRun, Replica, main, route, send

MAX_ATTEMPTS = 1
REQUESTS = 45
# The rule: "more than three requests".
ALLOWED = 3


async def case(fleet):
    record = fleet.record
    replicas = [Replica(fleet, f"desk-{number}", "desk", f"zone-{'abc'[number % 3]}", work_s=1.6)
                for number in range(6)]
    replicas += [Replica(fleet, f"model-{number}", "models", f"zone-{'abc'[number % 3]}", events=4)
                 for number in range(2)]
    routes = [route("look", "idempotent", "desk", max_attempts=MAX_ATTEMPTS)]
    await fleet.start(4, replicas, routes, proxies=True)
    await asyncio.sleep(1.5)
    stranded, helper = fleet.doors[:2]

    async def look(door, name):
        return await send(fleet, door, "GET", f"/look/{name}", name)

    for number, door in enumerate(fleet.doors):
        if not (await look(door, f"first-{number}")).is_served:
            raise CannotRun("a request was not served before the disruption")
    if TROUBLE:
        for replica in replicas:
            record.line(f"{stranded.name} is partitioned from {replica.name}: "
                        f"{replica.proxy.cut(stranded.process.pid)} connections are reset, and new ones will be")
    for number in range(40):
        if (await look(stranded, f"early-{number}")).is_served:
            break
    # Longer than contact_ms after the begin of the partition.
    await asyncio.sleep(3.5)
    asked = {}

    async def counted(name):
        asked[name] = await look(stranded, name)

    looks = [asyncio.ensure_future(counted(f"look-{number}")) for number in range(REQUESTS)]
    await asyncio.sleep(0.3)
    if TROUBLE:
        helper.signal(signal.SIGTERM)
    await asyncio.gather(*looks)
    if TROUBLE:
        await fleet.until(lambda: helper.process.poll() is not None, f"{helper.name} stops", 10)
        helper.start()
        await fleet.until(helper.is_ready, f"{helper.name} is ready again", 10)
    ran_at = {name: {run.replica.name for run in fleet.runs_of(name)} for name in asked}
    over = [name for name, at in ran_at.items() if len(at) > MAX_ATTEMPTS]
    for name in over:
        record.line(f"{name} ran at {sorted(ran_at[name])}, none of which has ended; its route allows {MAX_ATTEMPTS}")
    record.say(f"{len(asked)} requests, {sum(answer.is_served for answer in asked.values())} served; {len(over)} ran "
               f"at more than {MAX_ATTEMPTS} replica")
    return len(over) > ALLOWED


main(FOLDER, case)
