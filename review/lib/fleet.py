"""A small deployment on loopback for the cases of this review.

The processes of flamingostand are started with the command of deploy/system.toml and with settings as
deploy/node.json.tmpl gives them. The platform's store, the replicas and the consumers are stand-ins in this file; they
follow PROTOCOL.md.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/fleet/flamingostand"
HOST = "desk.example"
CHUNK_TOKENS = 10
KEY = "6b1f0c5a9e2d47838c7be4f0a1d25c936e8f7a0b4c3d2e1f5a6978c0b1d2e3f4"
STARTED = time.monotonic()


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, as text."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - STARTED:8.3f} {text}\n")
        self.file.flush()


def free_port(taken=set()):
    """A free port below those that the system gives to outgoing connections, so that a process gets it again.

    Cases beside each other take theirs from different parts of the range.
    """
    start = 16000 + os.getpid() % 80 * 200
    while True:
        port = random.randrange(start, start + 200)
        if port in taken:
            continue
        taken.add(port)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def response(status, body=b"", headers=()):
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    head += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


async def read_request(reader):
    """Reads one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


class Store:
    """The platform's store: objects of kinds with one revision counter, lists and watches."""

    def __init__(self):
        self.revision = 10
        self.objects = {}
        self.changes = []
        self.changed = asyncio.Event()

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 24)

    def put(self, kind, name, spec=None, status=None):
        self.revision += 1
        known = self.objects.get((kind, name))
        entry = {
            "metadata": {"name": name, "revision": self.revision, "created": 1, "finalizers": [], "deleting": False},
            "spec": spec if spec is not None else (known or {}).get("spec"),
            "status": status if status is not None else (known or {}).get("status"),
        }
        self.objects[(kind, name)] = entry
        self.note(kind, entry, False)
        return entry

    def remove(self, kind, name):
        entry = self.objects.pop((kind, name))
        self.revision += 1
        entry["metadata"]["revision"] = self.revision
        self.note(kind, entry, True)

    def note(self, kind, entry, removed):
        self.changes.append((self.revision, kind, json.loads(json.dumps(entry)), removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(0.004)
                status, body = await self.answer(*request)
                writer.write(response(status, json.dumps(body).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def answer(self, method, target, _headers, body):
        url = urlsplit(target)
        parts = url.path.strip("/").split("/")
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind = parts[1]
        if method == "GET" and len(parts) == 2 and "watch" in query:
            return await self.watch(kind, int(query["watch"]), int(query.get("wait_ms", "0")))
        if method == "GET" and len(parts) == 2:
            names = sorted(name for known, name in self.objects if known == kind and name > query.get("after", ""))
            items = [self.objects[(kind, name)] for name in names]
            return 200, {"items": items, "has_more": False, "current_rev": self.revision}
        written = json.loads(body) if body else {}
        name = parts[2] if len(parts) > 2 else written.get("metadata", {}).get("name")
        known = self.objects.get((kind, name))
        if method == "GET":
            return (200, known) if known else (404, {})
        if method == "POST":
            return (409, known) if known else (200, self.put(kind, name, spec=written.get("spec")))
        if known is None:
            return 404, {}
        expected = written.get("metadata", {}).get("revision")
        if expected is not None and expected != known["metadata"]["revision"]:
            return 409, known
        if method == "PUT" and parts[-1] == "status" and len(parts) == 4:
            return 200, self.put(kind, name, status=written.get("status"))
        if method == "PUT":
            return 200, self.put(kind, name, spec=written.get("spec"))
        self.remove(kind, name)
        return 200, {}

    async def watch(self, kind, after, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"object": entry, "removed": removed} for revision, known, entry, removed in self.changes
                      if known == kind and revision > after]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


def read_tables(processes):
    """The table of TCP sockets, and the inodes of the sockets of processes that this case has started."""
    inodes = set()
    for process in processes:
        try:
            entries = list(os.scandir(f"/proc/{process}/fd"))
        except OSError:
            continue
        for entry in entries:
            try:
                link = os.readlink(entry.path)
            except OSError:
                continue
            if link.startswith("socket:["):
                inodes.add(link[8:-1].encode())
    with open("/proc/net/tcp", "rb") as table:
        return table.read(), inodes


def owns(tables, port, replica_port):
    """Whether one of the processes holds the connection from this port."""
    table, inodes = tables
    found = table.find(b"0100007F:%04X 0100007F:%04X " % (port, replica_port))
    return found >= 0 and table[found:table.find(b"\n", found)].split()[8] in inodes


class TableReader:
    """Reads the tables once for all connections that wait for them, as reading takes milliseconds."""

    def __init__(self):
        self.waiting = []
        self.task = None

    async def read(self, processes):
        waiting = asyncio.get_running_loop().create_future()
        self.waiting.append(waiting)
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self.run(processes))
        return await waiting

    async def run(self, processes):
        while self.waiting:
            waiting, self.waiting = self.waiting, []
            tables = await asyncio.get_running_loop().run_in_executor(None, read_tables, processes)
            for future in waiting:
                if not future.done():
                    future.set_result(tables)


TABLES = TableReader()


class Replica:
    """A model replica. Doors in `cut` are partitioned from it: what they send hangs, on old and on new connections."""

    def __init__(self, name, zone, record, step_ms=20, service="models"):
        self.name, self.zone, self.record, self.step_ms, self.service = name, zone, record, step_ms, service
        self.born = int(time.time() * 1000)
        self.runs = []
        self.cut = []
        self.open_ports = set()
        self.ports_cut = set()

    async def start(self):
        self.port = free_port()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, limit=1 << 24)

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "1",
                "slots": 12, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": self.born}

    def partition(self, processes):
        self.cut = list(processes)
        self.ports_cut = set()
        if processes:
            tables = read_tables(processes)
            self.ports_cut = {port for port in self.open_ports if owns(tables, port, self.port)}

    async def check_new(self, port):
        """Holds a new connection until it is known whether its process is cut off."""
        if self.cut:
            tables = await TABLES.read(self.cut)
            if self.cut and owns(tables, port, self.port):
                self.ports_cut.add(port)

    def is_cut(self, port):
        return bool(self.cut) and port in self.ports_cut

    async def gate(self, port):
        while self.is_cut(port):
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        port = writer.get_extra_info("peername")[1]
        self.open_ports.add(port)
        try:
            await self.check_new(port)
            while True:
                await self.gate(port)
                request = await read_request(reader)
                await self.gate(port)
                if request is None:
                    return
                await self.answer(request, reader, writer, port)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.open_ports.discard(port)
            writer.close()

    async def answer(self, request, reader, writer, port):
        method, target, headers, body = request
        if target == "/report":
            report = {"stage": "both", "models": [], "busy": False, "seq": 1, "queued": 0, "running": 0,
                      "kv_used": 0, "kv_total": 100000, "handles": 0, "born": self.born, "state": "ready"}
            writer.write(response(200, json.dumps(report).encode(), [("Content-Type", "application/json")]))
            return await writer.drain()
        if target == "/healthz":
            writer.write(response(200, b"", [("X-Instance-Id", self.name)]))
            return await writer.drain()
        request_id = headers.get("x-request-id", "")
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(response(421, b"", [("X-Request-Id", request_id), ("X-Instance-Id", self.name),
                                             ("X-Not-Executed", "1")]))
            return await writer.drain()
        most = int(headers.get("x-token-count", "0,40").split(",")[1])
        events = most // CHUNK_TOKENS
        run = {"id": request_id, "replica": self.name, "bytes": len(body), "events": 0}
        self.runs.append(run)
        self.record.line(f"run {request_id} at {self.name}, {len(body)} bytes of body")
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                f"X-Request-Id: {request_id}", f"X-Response-Signature: {self.name}.{request_id}",
                "X-Weight-Versions: 1"]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id") or 0) + 1, events + 1):
            await asyncio.sleep(self.step_ms / 1000)
            await self.gate(port)
            if reader.at_eof():
                raise ConnectionError
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            run["events"] += 1
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Process:
    """One process of flamingostand."""

    def __init__(self, fleet, name, settings):
        self.fleet, self.name = fleet, name
        self.path = fleet.folder / f"{name}.json"
        self.log = fleet.folder / f"{name}.log"
        self.path.write_text(json.dumps(settings), encoding="utf-8")
        self.child = None

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FLAMINGOSTAND_CONFIG"] = str(self.path)
        with open(self.log, "ab") as log:
            self.child = await asyncio.create_subprocess_exec(
                str(PROGRAM), "node", cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log)

    async def kill(self):
        self.child.send_signal(signal.SIGKILL)
        await self.child.wait()

    def signal(self, number):
        self.child.send_signal(number)

    def lines(self, text):
        return [line for line in self.log.read_text(encoding="utf-8").splitlines() if text in line]


class Fleet:
    """Ledger nodes, doors, the store and replicas."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="flamingostand-review-"))
        self.store = Store()
        self.replicas, self.ledgers, self.doors, self.callers, self.readiness = [], [], [], {}, {}
        self.seeds = []

    def settings(self, name, zone, mesh):
        return {
            "cluster": {"name": "fleet", "mesh_key": KEY},
            "instance": {"name": name, "region": "region", "zone": zone},
            "mesh": f"127.0.0.1:{mesh}", "ledger_seeds": self.seeds,
            "platform": {"address": f"127.0.0.1:{self.store.port}", "form": "named", "calls_per_second": 40,
                         "timeout_ms": 800, "watch_ms": 1500},
            "tolerance": {"lost_disks": 1},
            "bounds": {"grace_s": 8, "directory_ttl_ms": 500},
            "metrics": f"127.0.0.1:{free_port()}",
            "log": {"format": "json", "level": "info"},
        }

    async def start(self, door_zones, routes, replicas):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM} is not built")
        await self.store.start()
        for replica in replicas:
            await replica.start()
            self.replicas.append(replica)
            self.store.put("servers", replica.name, spec=replica.entry())
        engine = {"slots": 12, "kv_capacity_tokens": 118074, "chunk_tokens": CHUNK_TOKENS}
        services = [{"name": "models", "max_conns": 170, "health_path": "/healthz", "engine": engine}]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}
        self.store.put("config", "main", spec={"version": 3, "routes": routes, "services": services,
                                               "limits": limits})
        ports = [free_port() for _ in range(3)]
        self.seeds = [f"127.0.0.1:{port}" for port in ports]
        for number, port in enumerate(ports):
            settings = self.settings(f"storage-{number + 1}", f"zone-{'abc'[number]}", port)
            settings["ledger"] = {"data_dir": str(self.folder / f"disk-{number + 1}")}
            self.ledgers.append(Process(self, f"storage-{number + 1}", settings))
        for number, zone in enumerate(door_zones):
            name = f"front-{number + 1}"
            settings = self.settings(name, zone, free_port())
            callers, readiness = free_port(), free_port()
            settings["door"] = {"callers": f"127.0.0.1:{callers}", "readiness": f"127.0.0.1:{readiness}",
                                "directory": f"127.0.0.1:{free_port()}", "peers": f"127.0.0.1:{free_port()}"}
            self.doors.append(Process(self, name, settings))
            self.callers[name], self.readiness[name] = callers, readiness
        for process in self.ledgers + self.doors:
            await process.start()
        for node in self.ledgers:
            await self.wait(f"{node.name} holds all records", lambda: node.lines("all records are present"))
        for door in self.doors:
            await self.wait_ready(door)

    async def wait(self, what, condition, limit_s=20):
        until = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"timed out: {what}")
            await asyncio.sleep(0.02)

    async def wait_ready(self, door, limit_s=20):
        until = time.monotonic() + limit_s
        while (await get(self.readiness[door.name], "/readyz")) != 200:
            if time.monotonic() > until:
                raise CannotRun(f"timed out: {door.name} is ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        for process in self.ledgers + self.doors:
            if process.child is not None and process.child.returncode is None:
                process.child.send_signal(signal.SIGCONT)
                await process.kill()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def send(self, door, request_id, path, headers, body=b"", deadline_ms=3000):
        """One consumer attempt; returns status, data of the events and whether the answer is whole."""
        self.record.line(f"send {request_id} to {door.name}, {path}, {len(body)} bytes of body, {headers}")
        answer = await consume(self.callers[door.name], request_id, path, headers, body, deadline_ms)
        self.record.line(f"answer {request_id} from {door.name}: status {answer[0]}, {len(answer[1])} events, "
                         f"whole {answer[2]}, {answer[3][:60]!r}")
        return answer


async def get(port, path):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), 1)
    except (OSError, asyncio.TimeoutError):
        return 0
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
        text = await asyncio.wait_for(reader.read(), 1)
        return int(text.split(b" ")[1]) if text else 0
    except (OSError, asyncio.TimeoutError):
        return 0
    finally:
        writer.close()


async def consume(port, request_id, path, headers, body, deadline_ms):
    status, text, whole = 0, b"", False
    writer = None
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 0.3):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
            head = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}",
                    f"X-Deadline-Ms: {deadline_ms}", f"Content-Length: {len(body)}", "Connection: close"]
            head += [f"{name}: {value}" for name, value in headers.items()]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode() + body)
            answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(answer.split(" ")[1])
            fields = dict(line.lower().split(": ", 1) for line in answer.split("\r\n")[1:] if ": " in line)
            if fields.get("transfer-encoding") == "chunked":
                while True:
                    size = int((await reader.readline()).strip(), 16)
                    text += (await reader.readexactly(size + 2))[:size]
                    if size == 0:
                        break
            else:
                text = await reader.readexactly(int(fields.get("content-length", "0")))
            whole = True
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    finally:
        if writer is not None:
            writer.close()
    data = [line[6:] for line in text.decode("latin-1").split("\n") if line.startswith("data: ")]
    return status, data, whole, text.decode("latin-1")


def route(name, prefix, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 3000,
            "target_latency_ms": 250, "target_gap_ms": 150, "priority": 0, "service": "models", "max_attempts": 1,
            "sticky": True, **more}


def main(case, folder):
    """Plays a case; exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")

    async def play():
        fleet = Fleet(record)
        try:
            async with asyncio.timeout(116):
                return await case(fleet, record, is_troubled)
        finally:
            await fleet.stop()

    try:
        is_broken = asyncio.run(play())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.line(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
