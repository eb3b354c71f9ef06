"""A small deployment on loopback: the programs of the deploy file as processes, the project's own platform
stand-in, and replicas, proxies and clients of this file. Standard library only.

Replicas and clients follow PROTOCOL.md; each run at a replica, each answer to a client and each disruption is a line
of record.txt.
"""
import asyncio
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target/fleet/flamingostand")
STANDIN = os.path.join(ROOT, "target/debug/standin")
HOST = "desk.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEAT_S = 1.2


class CannotRun(Exception):
    """the case could not be run: neither broken nor held."""


class Record:
    """the lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


_given = set()


def free_port(pair=False):
    """a free port; with `pair` the next one is free as well (a door takes passed requests there).

    Below the ports that the system gives to outgoing connections, so that none of these takes it before its process
    listens.
    """
    for _ in range(500):
        port = random.randrange(20_000, 32_000)
        ports = [port, port + 1] if pair else [port]
        if _given.intersection(ports):
            continue
        try:
            for wanted in ports:
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", wanted))
        except OSError:
            continue
        _given.update(ports)
        return port
    raise CannotRun("no free ports")


class Platform:
    """the project's stand-in of the platform's store, and the operator's and replicas' writes to it."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.port = free_port()
        self.address = f"127.0.0.1:{self.port}"
        log = open(os.path.join(fleet.folder, "platform.log"), "ab")
        command = [STANDIN, "platform", "--listen", self.address]
        self.process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        fleet.processes.append(self.process)

    def call(self, method, path, body=None):
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(f"http://{self.address}{path}", data=data, method=method)
        request.add_header("Content-Type", "application/json")
        try:
            with urllib.request.urlopen(request, timeout=5) as answer:
                return answer.status, json.loads(answer.read() or b"null")
        except urllib.error.HTTPError as error:
            return error.code, None

    def wait(self):
        for _ in range(200):
            try:
                self.call("GET", "/objects/config")
                return
            except OSError:
                time.sleep(0.05)
        raise CannotRun("the platform stand-in does not listen")

    def put(self, kind, name, spec):
        body = {"metadata": {"name": name}, "spec": spec}
        status, _ = self.call("PUT", f"/objects/{kind}/{name}", body)
        if status == 404:
            status, _ = self.call("POST", f"/objects/{kind}", body)
        if status != 200:
            raise CannotRun(f"the platform stand-in refused {kind}/{name}: {status}")

    def delete(self, kind, name):
        self.call("DELETE", f"/objects/{kind}/{name}")


class Node:
    """a front door or a ledger node, started as the deploy file says, with settings like the template's."""

    def __init__(self, fleet, name, zone, is_door):
        self.fleet, self.name, self.is_door = fleet, name, is_door
        self.mesh = free_port(pair=is_door)
        self.data = os.path.join(fleet.folder, f"disk-{name}")
        self.settings = {
            "cluster": {"name": "fleet", "mesh_key": "6b1f0c5a9e2d47838c7be4f0a1d25c936e8f7a0b4c3d2e1f5a6978c0b1d2e3f4"},
            "instance": {"name": name, "region": "region", "zone": zone},
            "mesh": f"127.0.0.1:{self.mesh}",
            "ledger_seeds": [],
            "platform": {"address": fleet.platform.address, "form": "named", "calls_per_second": 40,
                         "timeout_ms": 800, "watch_ms": 1500},
            "tolerance": {"lost_disks": 1},
            "bounds": {"grace_s": 8, "directory_ttl_ms": 500},
            "metrics": f"127.0.0.1:{free_port()}",
            "log": {"format": "json", "level": "info"},
        }
        if is_door:
            self.callers, self.readiness = free_port(), free_port()
            self.settings["door"] = {
                "callers": f"127.0.0.1:{self.callers}", "readiness": f"127.0.0.1:{self.readiness}",
                "directory": f"127.0.0.1:{free_port()}",
            }
        else:
            self.settings["ledger"] = {"data_dir": self.data}
        self.path = os.path.join(fleet.folder, f"{name}.json")
        self.log = os.path.join(fleet.folder, f"{name}.log")
        self.process = None

    def start(self):
        self.settings["ledger_seeds"] = [f"127.0.0.1:{node.mesh}" for node in self.fleet.ledgers][:3]
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        log = open(self.log, "ab")
        self.process = subprocess.Popen([PROGRAM, "node", self.path], stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log, cwd=ROOT)
        self.fleet.processes.append(self.process)
        self.fleet.record.line(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.fleet.record.line(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def lose_disk(self):
        self.fleet.record.line(f"{self.name} loses its disk")
        shutil.rmtree(self.data)

    def has_logged(self, text):
        with open(self.log, encoding="utf-8", errors="replace") as file:
            return sum(text in line for line in file)

    def is_ready(self):
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.readiness}/readyz", timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False


def resident_mb(node):
    """memory that a process of this test uses; 0 if it has ended."""
    try:
        with open(f"/proc/{node.process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


class MemoryLimit:
    """the platform's limit: "A process that uses more than `memory_mb` is killed", and "restarted after a short delay"."""

    CONTACT_S = 3
    RESTART_S = 0.5

    def __init__(self, fleet, memory_mb):
        self.fleet, self.memory_mb, self.ends, self.peaks, self.stopped_at = fleet, memory_mb, {}, {}, {}

    async def watch(self, node):
        while True:
            await asyncio.sleep(0.01)
            used = resident_mb(node)
            self.peaks[node.name] = max(round(used), self.peaks.get(node.name, 0))
            if used <= self.memory_mb or node.process.poll() is not None:
                continue
            # Counted only if the last planned stop of this machine is long over.
            if self.fleet.record.now() > self.stopped_at.get(node.name, -self.CONTACT_S) + self.CONTACT_S:
                self.ends[node.name] = self.ends.get(node.name, 0) + 1
            self.fleet.record.line(f"{node.name} uses {used:.0f} MB of {self.memory_mb} MB and is killed")
            node.kill()
            await asyncio.sleep(self.RESTART_S)
            node.start()


class Run:
    """one run of a request at a replica."""

    def __init__(self, replica, request, at, body):
        self.replica, self.request, self.at, self.body = replica, request, at, body
        self.ended = None


class Replica:
    """a replica: streams on `events` > 0, else one answer. It drops a run when its connection closes."""

    def __init__(self, fleet, name, service, zone, events=0, step_s=0.02, work_s=0.02, data=16):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        self.events, self.step_s, self.work_s, self.data = events, step_s, work_s, data
        self.born = int(time.time() * 1000)
        self.port, self.proxy, self.seq, self.runs = None, None, 0, []
        self.is_engine = events > 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 23, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        self.seq += 1
        port = self.proxy.port if self.proxy else self.port
        return {"service": self.service, "address": f"127.0.0.1:{port}", "zone": self.zone, "version": "v1",
                "slots": 64, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": self.born}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if not await self.answer(line, headers, body, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body, reader, writer):
        method, path = line.split(" ")[:2]
        request = headers.get("x-request-id")
        if path == "/healthz":
            await whole(writer, "200 OK", {"X-Instance-Id": self.name}, b"ok")
            return True
        if path == "/report" and self.is_engine:
            report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                      "seq": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 100000, "handles": 0,
                      "born": self.born}
            await whole(writer, "200 OK", {"Content-Type": "application/json"}, json.dumps(report).encode())
            return True
        expected = headers.get("x-expect-instance", self.name)
        if expected != self.name:
            await whole(writer, "421 Misdirected Request",
                        {"X-Request-Id": request or "", "X-Not-Executed": "1", "X-Instance-Id": self.name}, b"")
            return True
        run = Run(self, request, self.fleet.record.now(), body)
        self.runs.append(run)
        self.fleet.record.line(f"run {request} at {self.name}: {method} {path}, {len(body)} bytes, "
                               f"{hashlib.sha256(body).hexdigest()[:12]}")
        own = {"X-Request-Id": request or "", "X-Response-Signature": f"sig.{self.name}.{request}"}
        work = asyncio.ensure_future(self.work(headers, body, own, writer))
        left = asyncio.ensure_future(closed(reader))
        await asyncio.wait({work, left}, return_when=asyncio.FIRST_COMPLETED)
        is_done = work.done() and work.exception() is None
        run.ended = self.fleet.record.now()
        self.fleet.record.line(f"run {request} at {self.name} {'ends' if is_done else 'is cut off'}")
        for task in (work, left):
            task.cancel()
        await asyncio.gather(work, left, return_exceptions=True)
        return is_done

    async def work(self, headers, body, own, writer):
        await asyncio.sleep(self.work_s)
        if not self.events:
            await whole(writer, "200 OK", own, b"done " + hashlib.sha256(body).hexdigest().encode())
            return
        head = {**own, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(head_bytes("200 OK", head))
        first = int(headers.get("last-event-id") or "0") + 1
        for number in range(first, self.events + 1):
            if number > first:
                await asyncio.sleep(self.step_s)
            text = f"{number}-of-{own['X-Request-Id']}".ljust(self.data, "x")
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Proxy:
    """stands before a replica; resets connections, or cuts single processes off by resets."""

    def __init__(self, fleet, replica):
        self.fleet, self.replica, self.links, self.cut_off = fleet, replica, set(), set()
        replica.proxy = self

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        peer = writer.get_extra_info("peername")[1]
        if self.cut_off and self.is_cut(peer):
            writer.transport.abort()
            return
        try:
            to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.replica.port)
        except OSError:
            writer.transport.abort()
            return
        link = (writer, to_writer, peer)
        self.links.add(link)
        await asyncio.gather(copy(reader, to_writer), copy(to_reader, writer))
        self.links.discard(link)
        for end in (writer, to_writer):
            end.close()

    def is_cut(self, port):
        """whether a caller's port belongs to a process that is cut off."""
        inode = inode_of(port, self.port)
        if inode is None:
            return any(port in ports_of(pid) for pid in self.cut_off)
        return any(inode in inodes_of(pid) for pid in self.cut_off)

    def reset(self, wanted):
        """resets the links that `wanted` chooses by the caller's port."""
        count = 0
        for link in list(self.links):
            if wanted(link[2]):
                count += 1
                reset(link[0])
                reset(link[1])
        return count

    def cut(self, pid):
        self.cut_off.add(pid)
        ports = ports_of(pid)
        return self.reset(lambda port: port in ports)

    def heal(self):
        self.cut_off.clear()


def reset(writer):
    """closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        except OSError:
            pass
    writer.transport.abort()


async def copy(reader, writer):
    try:
        while True:
            data = await reader.read(65536)
            if not data:
                break
            writer.write(data)
            await writer.drain()
        writer.write_eof()
    except (OSError, RuntimeError):
        writer.transport.abort()


def inodes_of(pid):
    """the sockets of a process that this test has started."""
    inodes = set()
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            try:
                target = os.readlink(f"/proc/{pid}/fd/{name}")
            except OSError:
                continue
            if target.startswith("socket:["):
                inodes.add(int(target[8:-1]))
    except OSError:
        pass
    return inodes


def ports_of(pid):
    """local ports of the TCP sockets of a process that this test has started."""
    inodes, ports = inodes_of(pid), set()
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            if int(fields[9]) in inodes:
                ports.add(int(fields[1].split(":")[1], 16))
    return ports


def inode_of(local_port, remote_port):
    """the socket with these ports on loopback, asked of the system by itself, as the whole table takes long to read;
    `None` if it does not say."""
    address = socket.inet_aton("127.0.0.1") + bytes(12)
    question = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, 0xFFFFFFFF)
    question += struct.pack(">HH", local_port, remote_port) + address + address + bytes(4) + b"\xff" * 8
    try:
        with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, 4) as diag:
            diag.settimeout(1)
            diag.send(struct.pack("=IHHII", 16 + len(question), 20, 1, 1, 0) + question)
            answer = diag.recv(4096)
    except OSError:
        return None
    if struct.unpack("=H", answer[4:6])[0] != 20:
        return None
    return struct.unpack("=I", answer[84:88])[0]


async def closed(reader):
    """waits until the caller has closed its side; callers send no request before the answer to the last."""
    while not reader.at_eof():
        await asyncio.sleep(0.005)


def head_bytes(status, headers):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def whole(writer, status, headers, body):
    writer.write(head_bytes(status, {**headers, "Content-Length": str(len(body))}) + body)
    await writer.drain()


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *rest = head.decode("latin-1").split("\r\n")
    headers = {}
    for field in rest:
        if ":" in field:
            name, value = field.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return line, headers


class Answer:
    """what a client got: a status, 0 without one; the body, and whether it is whole."""

    def __init__(self):
        self.status, self.headers, self.body, self.is_whole, self.why = 0, {}, b"", False, ""

    @property
    def is_served(self):
        return self.status == 200 and self.is_whole

    def events(self):
        return [part for part in self.body.decode("latin-1").split("\n\n") if part]


async def send(fleet, door, method, path, request, headers=None, body=b"", deadline_ms=3000):
    """one attempt of a client, on a connection of its own."""
    answer = Answer()
    fields = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": str(deadline_ms), **(headers or {})}
    if body or method == "POST":
        fields["Content-Length"] = str(len(body))
    fleet.record.line(f"send {request} to {door.name}: {method} {path}, {len(body)} bytes")
    try:
        await asyncio.wait_for(exchange(door, method, path, fields, body, answer), deadline_ms / 1000 + 0.3)
    except asyncio.TimeoutError:
        answer.why = "deadline"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.why = type(error).__name__
    text = "" if answer.status == 200 else " " + answer.body[:40].decode("latin-1")
    fleet.record.line(f"answer to {request}: {answer.status or 'none'}, "
                      f"{'whole' if answer.is_whole else 'not whole ' + answer.why}{text}")
    return answer


async def exchange(door, method, path, fields, body, answer):
    reader, writer = await asyncio.open_connection("127.0.0.1", door.callers, limit=1 << 23)
    try:
        lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed without an answer")
        line, answer.headers = head
        answer.status = int(line.split(" ")[1])
        if "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            answer.is_whole = True
            return
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                answer.is_whole = True
                return
            answer.body += data[:-2]
    finally:
        writer.close()


class Fleet:
    """the processes and stand-ins of one case."""

    def __init__(self, folder):
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = Record(folder)
        self.processes, self.replicas, self.ledgers, self.doors = [], [], [], []
        for program in (PROGRAM, STANDIN):
            if not os.path.exists(program):
                raise CannotRun(f"{program} is not built")
        self.platform = Platform(self)
        self.platform.wait()
        self.version = 0

    async def start(self, doors, replicas, routes, ledgers=3, proxies=False):
        self.replicas = replicas
        for replica in replicas:
            await replica.start()
            if proxies:
                await Proxy(self, replica).start()
            await self.do(self.platform.put, "servers", replica.name, replica.entry())
        await self.do(self.configure, routes)
        zones = ["zone-a", "zone-b", "zone-c"]
        for number in range(ledgers):
            self.ledgers.append(Node(self, f"store-{number + 1}", zones[number % 3], False))
        for number in range(doors):
            self.doors.append(Node(self, f"front-{number + 1}", zones[number % 3], True))
        for node in self.ledgers + self.doors:
            node.start()
        self.beats = asyncio.ensure_future(self.beat())
        for door in self.doors:
            await self.until(lambda door=door: door.is_ready(), f"{door.name} is ready", 20)

    def configure(self, routes):
        self.version += 3
        engine = {"slots": 64, "kv_capacity_tokens": 100000, "chunk_tokens": 10}
        config = {
            "version": self.version, "routes": routes,
            "services": [{"name": "models", "max_conns": 500, "health_path": "/healthz", "engine": engine},
                         {"name": "desk", "max_conns": 500, "health_path": "/healthz"}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
        }
        self.platform.put("config", "main", config)
        self.record.line(f"desired state {self.version} is confirmed")

    async def beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            for replica in self.replicas:
                try:
                    await self.do(self.platform.put, "servers", replica.name, replica.entry())
                except (OSError, CannotRun):
                    pass

    async def do(self, work, *arguments):
        return await asyncio.get_running_loop().run_in_executor(None, work, *arguments)

    async def until(self, condition, what, limit_s):
        end = time.monotonic() + limit_s
        while not await self.do(condition):
            if time.monotonic() > end:
                raise CannotRun(f"not within {limit_s} s: {what}")
            await asyncio.sleep(0.05)

    def runs_of(self, request):
        return [run for replica in self.replicas for run in replica.runs if run.request == request]

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **more):
    fields = {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind, "service": service,
              "timeout_ms": 3000, "target_latency_ms": 250, "priority": 0, "max_attempts": 1, "sticky": False}
    return {**fields, **more}


def main(folder, case):
    """runs a case; it returns whether the rule was broken."""
    fleet = None
    try:
        fleet = Fleet(folder)
        broken = asyncio.run(asyncio.wait_for(case(fleet), 115))
        fleet.record.say("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        print(f"the case could not run: {error!r}", flush=True)
        if fleet:
            fleet.record.line(f"the case could not run: {error!r}")
        code = 2
    finally:
        if fleet:
            fleet.end()
    # Connections of stand-ins that are still open need no orderly end.
    print(end="", flush=True)
    os._exit(code)
