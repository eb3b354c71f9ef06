"""LOST: a conversation loses its oldest turns, though its newest is kept, after two storage processes were restarted one
after the other."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from fleet import CannotRun, Replica, main, route

PROGRAMS = 60
# Programs that begin while the conversations go on, to see that first turns are served.
FIRST_TURNS = 20
TRIES = 5
RETENTION_S = 60.0
# Time from the kill of a storage process to its next start; the site file allows 2.8.
DOWN_S = 1.2
# Longer than the site's `catch_up_s`, 4.4, so that one machine at most counts as lost.
CALM_S = 5.0
# When the last turn before the pause is sent, and when the conversation goes on, from the end of the last restart.
LAST_S = 40.0
GOES_ON_S = 96.0


async def case(fleet, record, is_troubled):
    replicas = [Replica(f"model-{number}", f"zone-{zone}", record, step_ms=5) for number, zone in enumerate("abc")]
    routes = [route("kept", "/kept/", retained=True, retention_s=RETENTION_S)]
    await fleet.start(["zone-a", "zone-b"], routes, replicas)
    await asyncio.sleep(1)
    loop = asyncio.get_running_loop()

    def turn(request_id, door, program, previous=None):
        headers = {"X-Program-Id": program, "X-Session-Id": "line", "X-Token-Budget": 10000,
                   "X-Token-Count": "100,20", "X-Program-Deadline-Ms": 180000}
        if previous:
            headers["X-Previous-Turn"] = previous
        return fleet.send(fleet.doors[door % 2], request_id, "/kept/turn", headers, b"input of " + request_id.encode())

    # The newest turn of each conversation that was answered whole.
    newest = {number: None for number in range(PROGRAMS)}

    async def go_on(number, step, tries=TRIES):
        """Sends the next turn of a conversation until it is answered whole; returns the ids and the statuses."""
        sent = []
        for attempt in range(tries):
            request_id = f"turn-{number}-{step}-{attempt}"
            status, _, whole, _ = await turn(request_id, number + attempt, f"program-{number}", newest[number])
            sent.append((request_id, status))
            if status == 200 and whole:
                newest[number] = request_id
                break
            await asyncio.sleep(0.3)
        return sent

    async def all_go_on(step):
        answers = await asyncio.gather(*[go_on(number, step) for number in newest])
        served = sum(sent[-1][0] == newest[number] for number, sent in enumerate(answers))
        record.line(f"turn {step}: {served} of {PROGRAMS} conversations were answered whole")
        if served < PROGRAMS and step < 4:
            raise CannotRun(f"turn {step} was not answered whole in all conversations")
        return answers

    await all_go_on(0)
    for step, node in enumerate(fleet.ledgers[:2], 1):
        if is_troubled:
            record.line(f"{node.name} is killed")
            await node.kill()
        await asyncio.sleep(0.4)
        await all_go_on(step)
        if is_troubled:
            await asyncio.sleep(DOWN_S - 0.5)
            await node.start()
            await fleet.wait(f"{node.name} runs", lambda node=node: len(node.lines("replayed the ledger log")) > 1)
            record.line(f"{node.name} is back, with its disk")
        restarted = loop.time()
        if step == 1:
            await asyncio.sleep(CALM_S)
    await asyncio.sleep(restarted + LAST_S - loop.time())
    sent_at = loop.time()
    await all_go_on(3)
    await asyncio.sleep(restarted + GOES_ON_S - loop.time())
    record.line(f"the conversations go on, {loop.time() - sent_at:.1f} s after their last turn")
    firsts = asyncio.gather(*[turn(f"first-{number}", number, f"other-{number}") for number in range(FIRST_TURNS)])
    answers = await all_go_on(4)
    record.line(f"the last try ended {loop.time() - sent_at:.1f} s after the last turn")
    served = sum(answer[0] == 200 and answer[2] for answer in await firsts)
    reached = {run["id"] for replica in replicas for run in replica.runs}
    stuck = [sent for sent in answers if not any(request_id in reached for request_id, _ in sent)]
    is_late = loop.time() - sent_at >= RETENTION_S
    is_broken = bool(stuck) and not is_late and served >= 0.9 * FIRST_TURNS
    statuses = sorted({status for sent in stuck for _, status in sent})
    text = (f"{len(stuck)} of {len(answers)} conversations reached no replica in {TRIES} tries (answers {statuses}), "
            f"less than {RETENTION_S:.0f} s after their last turn was answered whole; {served} of {FIRST_TURNS} first "
            f"turns were served: LOST {'broken' if is_broken else 'held'}")
    record.line(text)
    print(text)
    return is_broken


main(case, Path(__file__).resolve().parent)
