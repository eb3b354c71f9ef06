"""BUDGET: a door that is cut off as well settles a turn that it has not run, and the tokens that another door then
generates for the turn are never charged."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from fleet import CHUNK_TOKENS, Replica, main, route

PROGRAMS = 6
TURN_TOKENS = 40
# The most sub-agents that a program of the site's sheet has at a time.
SUB_AGENTS = 10
BUDGET = 20 * TURN_TOKENS
CUT_S = 4.0


async def case(fleet, record, is_troubled):
    replicas = [Replica(f"model-{number}", f"zone-{zone}", record) for number, zone in enumerate("aabbc")]
    routes = [route("talk", "/talk/", resumable=True)]
    await fleet.start(["zone-a", "zone-a", "zone-b"], routes, replicas)
    first, second, third = fleet.doors
    await asyncio.sleep(1.5)
    handed_out = [0] * PROGRAMS

    async def turn(program, number, door):
        headers = {"X-Program-Id": f"program-{program}", "X-Session-Id": f"line-{number}", "X-Token-Budget": BUDGET,
                   "X-Token-Count": f"100,{TURN_TOKENS}", "X-Program-Deadline-Ms": 60000}
        body = f"input {number} of {program}".encode()
        status, events, _, _ = await fleet.send(door, f"turn-{program}-{number}", "/talk/turn", headers, body)
        handed_out[program] += len(events) * CHUNK_TOKENS
        return status

    async def go_on(program):
        """The program goes on until it is told that its budget is spent."""
        for number in range(SUB_AGENTS, SUB_AGENTS + 40):
            if await turn(program, number, third) == 402:
                return True
        return False

    if is_troubled:
        record.line(f"{first.name} and {second.name}, the machines of zone-a, are partitioned from all replicas")
        for replica in replicas:
            replica.partition([first.child.pid, second.child.pid])
    # The sub-agents of each program begin their turns at the same time, each at an address at random.
    began = asyncio.get_running_loop().time()
    await asyncio.gather(*[turn(program, number, random.choice(fleet.doors))
                           for program in range(PROGRAMS) for number in range(SUB_AGENTS)])
    if is_troubled:
        await asyncio.sleep(max(0, began + CUT_S - asyncio.get_running_loop().time()))
        record.line("the partition heals")
        for replica in replicas:
            replica.partition([])
    record.line(f"tokens handed out in the first {SUB_AGENTS} turns of each program: {handed_out}")
    await asyncio.sleep(1.0)
    ended = await asyncio.gather(*[go_on(program) for program in range(PROGRAMS)])
    most = BUDGET + TURN_TOKENS
    is_broken = max(handed_out) > most
    text = (f"budget {BUDGET}, most of one turn {TURN_TOKENS}, tokens handed to the consumers of {PROGRAMS} programs "
            f"{handed_out}, {sum(ended)} ended with 402: BUDGET {'broken' if is_broken else 'held'}")
    record.line(text)
    print(text)
    return is_broken


main(case, Path(__file__).resolve().parent)
