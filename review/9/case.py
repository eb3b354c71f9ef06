"""The store machines are restarted in turn a few times, before the log of any of them has filled a segment."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib-2"))
from fleet import TROUBLE, Replica, main, route, send

# The site's store machines: "130 MB".
MEMORY_MB = 130
# How long the platform takes to start a process again that has used more: "restarted after a short delay".
RESTART_S = 0.5
RECOVERY_S = 12
CONTACT_S = 3
ROUNDS = 4
ROUND_S = 20
TURNS = 1_850
# The largest request of the site's consumers.
BODY_BYTES = 26_000
GAP_S = 1.3
# The rule: "on a tenth of the machines in use (two at least) processes end by themselves three times".
MACHINES, ENDS = 2, 3


def resident_mb(node):
    try:
        with open(f"/proc/{node.process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


def log_mb(node):
    return round(sum(entry.stat().st_size for entry in os.scandir(node.data)) / 1_000_000)


class Limit:
    """the platform's limit of memory: "A process that uses more than `memory_mb` is killed"."""

    def __init__(self, fleet):
        self.fleet, self.ends, self.peaks, self.stopped_at = fleet, {}, {}, {}

    async def watch(self, node):
        while True:
            await asyncio.sleep(0.02)
            used = resident_mb(node)
            self.peaks[node.name] = max(used, self.peaks.get(node.name, 0))
            if used <= MEMORY_MB or node.process.poll() is not None:
                continue
            # Counted only if the last planned stop of this machine is long over.
            if self.fleet.record.now() > self.stopped_at.get(node.name, 0) + CONTACT_S:
                self.ends[node.name] = self.ends.get(node.name, 0) + 1
            self.fleet.record.line(f"{node.name} uses {used:.0f} MB of {MEMORY_MB} MB, with {log_mb(node)} MB on its "
                                   f"disk, and is killed")
            node.kill()
            await asyncio.sleep(RESTART_S)
            node.start()


async def case(fleet):
    record = fleet.record
    replicas = [Replica(fleet, f"model-{number}", "models", f"zone-{'abc'[number % 3]}", events=2, work_s=0.01,
                        step_s=0.005) for number in range(3)]
    routes = [route("draft", "streaming", "models", retained=True, retention_s=1.0)]
    await fleet.start(2, replicas, routes)
    await asyncio.sleep(1)
    limit, places = Limit(fleet), asyncio.Semaphore(12)
    watches = [asyncio.ensure_future(limit.watch(node)) for node in fleet.ledgers]

    async def turn(name, number):
        headers = {"X-Program-Id": f"program-{name}", "X-Session-Id": f"line-{name}",
                   "X-Program-Deadline-Ms": "90000", "X-Token-Budget": "1000", "X-Token-Count": "100,40"}
        async with places:
            return await send(fleet, fleet.doors[number % 2], "POST", "/draft/a", name, headers,
                              (f"{name} " * 4000)[:BODY_BYTES].encode())

    for part in range(ROUNDS):
        until = record.now() + ROUND_S
        answers = await asyncio.gather(*[turn(f"turn-{part}-{number}", number) for number in range(TURNS)])
        record.say(f"round {part}: {sum(answer.is_served for answer in answers)} of {TURNS} turns served; MB on the disks "
                   f"{[log_mb(node) for node in fleet.ledgers]}, in memory "
                   f"{[round(resident_mb(node)) for node in fleet.ledgers]}")
        for node in fleet.ledgers if TROUBLE else []:
            if node.process.poll() is None:
                limit.stopped_at[node.name] = record.now()
                node.signal(signal.SIGTERM)
                await fleet.do(node.process.wait)
                node.start()
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(max(0, until - record.now()) if part + 1 < ROUNDS else RECOVERY_S)
    last = await asyncio.gather(*[turn(f"last-{number}", number) for number in range(20)])
    for watch in watches:
        watch.cancel()
    record.say(f"{sum(answer.is_served for answer in last)} of 20 turns served {RECOVERY_S} s after the last restart; ends "
               f"by memory {limit.ends}, peaks in MB { {name: round(peak) for name, peak in limit.peaks.items()} }")
    return sum(ends >= ENDS for ends in limit.ends.values()) >= MACHINES


main(FOLDER, case)
