"""Fault: an answer that states a very long idle timeout ends the process of the door that gets it."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from fleet import Replica, main, response, route

# Whole seconds, as the header states them: the largest number of 64 bits, from a replica that closes no idle connection.
LONG_S = 18446744073709551615
USUAL_S = 5
# Share of the answers of one of three replicas.
SHARE = 0.02
SPANS = 4
SPAN_S = 5.5
CONSUMERS = 6
RESTART_S = 0.3


class Tool(Replica):
    """A plain service."""

    share_long = 0.0
    long_answers = 0

    async def answer(self, request, reader, writer, port):
        _, target, headers, _ = request
        if target in ("/healthz", "/report") or headers.get("x-expect-instance", self.name) != self.name:
            return await super().answer(request, reader, writer, port)
        request_id = headers["x-request-id"]
        idle_s = LONG_S if random.random() < self.share_long else USUAL_S
        self.long_answers += idle_s == LONG_S
        self.record.line(f"run {request_id} at {self.name}, Keep-Alive: timeout={idle_s}")
        await asyncio.sleep(0.03)
        writer.write(response(200, b"done", [("X-Request-Id", request_id), ("X-Response-Signature", request_id),
                                             ("Keep-Alive", f"timeout={idle_s}")]))
        await writer.drain()


async def case(fleet, record, is_troubled):
    tools = [Tool(f"tool-{number}", "zone-a", record) for number in range(3)]
    routes = [{**route("look", "/look/"), "kind": "idempotent", "max_attempts": 2, "timeout_ms": 1500,
               "sticky": False}]
    await fleet.start(["zone-a", "zone-b"], routes, tools)
    ends = {door.name: 0 for door in fleet.doors}
    served, unserved, is_over = 0, 0, False

    async def keep_running(door):
        """Restarts a process that has ended by itself, as the platform does."""
        while not is_over:
            await door.child.wait()
            if is_over:
                return
            ends[door.name] += 1
            record.line(f"{door.name} has ended by itself, with exit code {door.child.returncode}")
            await asyncio.sleep(RESTART_S)
            await door.start()

    async def consumer(name, door):
        nonlocal served, unserved
        number = 0
        while not is_over:
            number += 1
            request_id = f"{name}-{number}"
            status, _, whole, _ = await fleet.send(door, request_id, f"/look/{request_id}", {}, b"", 1500)
            is_served = status == 200 and whole
            served, unserved = served + is_served, unserved + (not is_served)
            await asyncio.sleep(0 if is_served else 0.1)

    watchers = [asyncio.ensure_future(keep_running(door)) for door in fleet.doors]
    consumers = [asyncio.ensure_future(consumer(f"{door.name}-{number}", door))
                 for door in fleet.doors for number in range(CONSUMERS)]
    for _ in range(SPANS):
        tools[0].share_long = SHARE if is_troubled else 0.0
        await asyncio.sleep(SPAN_S)
        tools[0].share_long = 0.0
        await asyncio.sleep(2)
        if min(ends.values()) >= 3:
            break
    is_over = True
    await asyncio.gather(*consumers)
    for watcher in watchers:
        watcher.cancel()
    is_broken = min(ends.values()) >= 3
    text = (f"{tools[0].long_answers} answers with the long timeout; {served} requests served, {unserved} not; processes "
            f"that ended by themselves: {ends}: Fault {'broken' if is_broken else 'held'}")
    record.line(text)
    print(text)
    return is_broken


main(case, Path(__file__).resolve().parent)
