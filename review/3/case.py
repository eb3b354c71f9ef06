"""BUDGET: a door that is cut off as well settles a turn that it has not run, and the tokens that another door then
generates for the turn are never charged."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from fleet import CHUNK_TOKENS, Replica, main, route

TURN_TOKENS = 40
HELPERS = 15
BUDGET = 20 * TURN_TOKENS
CUT_S = 4.0


async def case(fleet, record, is_troubled):
    replicas = [Replica(f"model-{number}", f"zone-{zone}", record) for number, zone in enumerate("aabbc")]
    routes = [route("talk", "/talk/", resumable=True)]
    await fleet.start(["zone-a", "zone-a", "zone-b"], routes, replicas)
    first, second, third = fleet.doors
    await asyncio.sleep(1.5)
    handed_out = 0

    def turn(number, door):
        headers = {"X-Program-Id": "program", "X-Session-Id": f"line-{number}", "X-Token-Budget": BUDGET,
                   "X-Token-Count": f"100,{TURN_TOKENS}", "X-Program-Deadline-Ms": 60000}
        return fleet.send(door, f"turn-{number}", "/talk/turn", headers, f"input {number}".encode())

    if is_troubled:
        record.line(f"{first.name} and {second.name}, the machines of zone-a, are partitioned from all replicas")
        for replica in replicas:
            replica.partition([first.child.pid, second.child.pid])
    # The program's sub-agents begin their turns at the same time, each at an address at random.
    began = asyncio.get_running_loop().time()
    answers = await asyncio.gather(*[turn(number, random.choice(fleet.doors)) for number in range(HELPERS)])
    left = CUT_S - (asyncio.get_running_loop().time() - began)
    if is_troubled:
        await asyncio.sleep(max(0, left))
        record.line("the partition heals")
        for replica in replicas:
            replica.partition([])
    handed_out += sum(len(answer[1]) for answer in answers) * CHUNK_TOKENS
    record.line(f"tokens handed out in the first {HELPERS} turns: {handed_out}")
    await asyncio.sleep(1.0)
    # The program goes on until it is told that its budget is spent.
    status = 0
    for number in range(HELPERS, HELPERS + 40):
        status, events, _, _ = await turn(number, third)
        handed_out += len(events) * CHUNK_TOKENS
        if status == 402:
            break
    most = BUDGET + TURN_TOKENS
    verdict = "broken" if handed_out > most else "held"
    text = (f"budget {BUDGET}, most of one turn {TURN_TOKENS}, tokens handed to the consumer {handed_out}, "
            f"last status {status}: BUDGET {verdict}")
    record.line(text)
    print(text)
    return handed_out > most


main(case, Path(__file__).resolve().parent)
