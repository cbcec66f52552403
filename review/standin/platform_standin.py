"""Stand-ins for the platform, after PROTOCOL.md: the store, executors, a link to the store that can be cut, and a client.

Everything runs in one asyncio process on loopback. Only the standard library is used. The hosts are the project's own program,
started with the command of deploy/system.toml as separate processes.
"""

import asyncio
import base64
import collections
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import unquote

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.5


def unix_ms():
    return int(time.time() * 1000)


class Record:
    """The record of a run: what was sent, answered and run, with the time since its start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        line = f"{self.now():8.3f} {text}"
        print(line, file=self.file, flush=True)
        print(line, flush=True)


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


class Server:
    """An HTTP/1.1 server. A request that was read as a whole is carried out, also if its connection is closed meanwhile."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.address = None

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, backlog=512)
        self.address = self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                answer = await self.handle(request)
                if answer is None:
                    await asyncio.sleep(3600)
                status, body = answer
                data = b"" if body is None else json.dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        """Ends the server as the end of its process does: connections are reset, and new ones refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The metadata store: rows, transactions and feeds of changes."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.on_commit = None

    def put(self, table, key, value):
        self.version += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, "", key)] = (text, self.version)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def value(self, table, part, key):
        text, _ = self.rows.get((table, part, key), (None, 0))
        return None if text is None else json.loads(base64.b64decode(text))

    def row(self, place):
        text, version = self.rows.get(place, (None, 0))
        row = {"table": place[0], "part": place[1], "key": place[2], "formatVersion": version}
        if text is None:
            row["tombstone"] = True
        else:
            row["value"] = text
        return row

    async def handle(self, request):
        if request.method == "POST" and request.path == "/rows-tx":
            await asyncio.sleep(0.003)
            return self.transact(request.json())
        if request.path == "/rows-get":
            await asyncio.sleep(0.001)
            return self.get(request.query)
        if request.path == "/rows-feed":
            return await self.feed(request.query)
        return 404, {"error": "no such call"}

    def answer(self, **more):
        return {"formatVersion": self.version, "nowMs": int(time.monotonic() * 1000), **more}

    def transact(self, body):
        def place(row):
            return (row["table"], row.get("part", ""), row["key"])

        checks, puts, removes = (body.get(name) or [] for name in ("expectedRev", "setKeys", "remove"))
        rows = checks + puts + removes
        if len(rows) > 100 or any(len(base64.b64decode(row["value"])) > 65_536 for row in puts):
            return 400, {"error": "too many entries, or a value is too long"}
        if any(row["table"] in ("op", "servers") for row in puts + removes):
            return 403, {"error": "not the system's table"}
        if not body.get("across") and len({row.get("part", "") for row in rows}) > 1:
            return 400, {"error": "several parts"}

        def current(row):
            text, version = self.rows.get(place(row), (None, 0))
            return 0 if text is None else version

        if any(current(row) != row.get("formatVersion", 0) for row in checks):
            found = [self.row(place(row)) for row in checks]
            for row in found:
                if row.pop("tombstone", False):
                    row["formatVersion"] = 0
            return 412, self.answer(rows=found)
        if puts or removes:
            self.version += 1
            for row in puts:
                self.rows[place(row)] = (row["value"], self.version)
            for row in removes:
                self.rows[place(row)] = (None, self.version)
            if self.on_commit:
                self.on_commit(puts, removes)
            self.wake()
        return 200, self.answer()

    def get(self, query):
        table, part = query.get("table", ""), query.get("part", "")
        start, end = unquote(query.get("from", "")), query.get("to")
        limit = min(int(query.get("limit", "500")), 500)
        keys = sorted(
            key
            for (of, at, key), (text, _) in self.rows.items()
            if of == table and at == part and text is not None and key >= start and (end is None or key < unquote(end))
        )
        rows = [self.row((table, part, key)) for key in keys[:limit]]
        return 200, self.answer(rows=rows, hasMore=len(keys) > limit)

    async def feed(self, query):
        table, after = query.get("table", ""), int(query.get("after", "0"))
        until = time.monotonic() + min(int(query.get("waitMs", "0")), 30_000) / 1000
        while True:
            changed = self.changed
            places = [place for place, (_, version) in self.rows.items() if place[0] == table and version > after]
            left = until - time.monotonic()
            if places or left <= 0:
                places.sort(key=lambda place: self.rows[place][1])
                return 200, self.answer(rows=[self.row(place) for place in places])
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


Start = collections.namedtuple("Start", "at executor label born task run")
End = collections.namedtuple("End", "at executor task run how")


class Run:
    def __init__(self, number, spec):
        self.number = number
        self.work_ms = spec.get("ms", 0)
        self.serves = spec.get("serves", False)
        self.fills = spec.get("fills", False)
        self.cpu = spec.get("cpu", 0)
        self.gang = spec.get("gang", 0)
        self.began = time.monotonic()
        self.done_ms = 0.0
        self.share = 100
        self.stops_at = None


class Executor:
    """One executor. What a task needs and does stands in its job's spec, a JSON text."""

    def __init__(self, platform, number, label, rack):
        self.platform = platform
        self.id = f"i-{number:04x}{random.randrange(1 << 16):04x}"
        self.label = label
        self.rack = rack
        self.service = "desk"
        self.cpu = 16_000
        self.up = False
        self.server = Server(self.handle)
        self.link = Link(self.server)
        self.held_at = 0.0
        self.disturbance = lambda: 0.0
        self.registered = False

    async def start(self):
        """Begins a life of the executor, which knows nothing of a former one."""
        self.born = unix_ms()
        self.began = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.runs = {}
        self.highest = {}
        self.ended = []
        self.last_end = 0
        self.seq = 0
        self.changed = asyncio.Event()
        await self.server.start(port=self.server.address[1] if self.server.address else 0)
        if not self.link.address:
            await self.link.start()
        self.up = True
        self.register()
        self.tasks = [asyncio.create_task(self.heartbeats()), asyncio.create_task(self.work())]

    def register(self):
        """Writes its row, as an executor does when it starts and with each heartbeat."""
        self.seq += 1
        self.registered = True
        self.platform.store.put(
            "servers",
            self.id,
            {
                "service": self.service, "address": self.link.text, "zone": "kairouan-a", "version": "v1",
                "slots": 8, "state": "ready", "coldLeftMs": 0, "born": self.born, "seq": self.seq,
                "capacity": {"cpu": self.cpu, "memMb": 65_536, "gpus": 0},
                "labels": [self.label, self.rack], "clockMs": self.clock(),
            },
        )

    async def heartbeats(self):
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self, down_s, label=None):
        """Crashes; starts again under its id after this time, of another kind if one is given."""
        self.up = False
        for task in self.tasks:
            task.cancel()
        lost = [f"{task} run {run.number}" for task, run in self.runs.items()]
        runs, self.runs = self.runs, {}
        for task, run in runs.items():
            self.platform.break_gang(task, run)
        await self.server.stop()
        self.platform.record.add(f"executor {self.id} crashes; lost with it: {', '.join(lost) or 'nothing'}")
        await asyncio.sleep(down_s)
        if label:
            self.label = label
        await self.start()
        self.platform.record.add(f"executor {self.id} is up again, born {self.born}, labels {self.label}, {self.rack}")

    def clock(self):
        return int((time.monotonic() - self.began) * 1000) + 1

    def tail_ms(self):
        """The tail of the response times of a task that serves: what fills beside it disturbs it by its share."""
        shares = sum(run.share / 100 for run in self.runs.values() if run.fills)
        return 20 + int(self.disturbance() * shares)

    def end(self, task, how):
        run = self.runs.pop(task)
        if run.gang and how == "done":
            self.platform.end_gang(task, run, "done")
        elif run.gang and how != "broken":
            self.platform.break_gang(task, run)
        self.last_end += 1
        self.ended.append([self.last_end, task, run.number, how, ""])
        self.platform.ended(self, task, run.number, how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def work(self):
        """Lets the tasks work at their shares, and ends them."""
        before = time.monotonic()
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            passed, before = (now - before) * 1000, now
            lapsed = self.clock() > self.lease
            for task, run in list(self.runs.items()):
                if self.runs.get(task) is not run:
                    continue
                if run.gang and len(self.platform.members(task, run)) < run.gang:
                    if now - run.began > 3:
                        self.end(task, "alone")
                        continue
                else:
                    run.done_ms += passed * run.share / 100
                if lapsed:
                    self.end(task, "lapsed")
                elif run.stops_at and now >= run.stops_at:
                    self.end(task, "stopped")
                elif run.work_ms and run.done_ms >= run.work_ms:
                    self.end(task, "done")

    def extend(self, body):
        deadline = body.get("deadlineMs", 0)
        if deadline:
            self.lease = max(self.lease, min(deadline, self.clock() + 6_000))

    async def handle(self, request):
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return 421, {"clockMs": self.clock(), "born": self.born}
        body = request.json()
        reply = lambda **more: {"clockMs": self.clock(), "born": self.born, **more}
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return 409, reply(reason="fence")
        if request.path == "/hold":
            self.fence = token
            return await self.hold(body, reply)
        task, number = body["task"], body["runId"]
        if request.path == "/run-start":
            return self.run_start(task, number, body, reply)
        self.fence = token
        run = self.runs.get(task)
        if request.path == "/run-stop":
            self.platform.record.add(f"executor {self.id} gets a stop of {task} run {number}")
            self.highest[task] = max(self.highest.get(task, 0), number)
            if run and run.number <= number and not run.stops_at:
                run.stops_at = time.monotonic() + 0.1
            return 200, reply()
        if request.path == "/pace":
            self.platform.record.add(
                f"executor {self.id} gets pace {body['percent']} for {task} run {number}, token {token}"
            )
            if run and run.number == number:
                run.share = body["percent"]
                self.platform.paced(self, task, run)
            return 200, reply()
        return 404, reply()

    def run_start(self, task, number, body, reply):
        run = self.runs.get(task)
        # The highest token is kept, whatever becomes of the order.
        self.fence = body.get("fencingToken", 0)
        if run and run.number == number:
            return 200, reply()
        if number <= self.highest.get(task, 0):
            self.extend(body)
            return 409, reply(reason="old")
        if self.clock() > body.get("deadlineMs", 0):
            return 409, reply(reason="late")
        if run:
            raise RuntimeError(f"{task} is started on {self.id} beside its run {run.number}; no page says what follows")
        self.extend(body)
        self.highest[task] = number
        self.runs[task] = Run(number, json.loads(body["spec"])[int(task.split(".")[2])])
        self.platform.started(self, task, number, body)
        return 200, reply()

    async def hold(self, body, reply):
        self.held_at = time.monotonic()
        self.extend(body)
        self.ended = [end for end in self.ended if end[0] > body.get("lastSeen", 0)]
        until = time.monotonic() + min(body.get("waitMs", 0), 2_000) / 1000
        while not self.ended and time.monotonic() < until:
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(until - time.monotonic(), 0.001))
            except asyncio.TimeoutError:
                pass
        running = []
        for task, run in self.runs.items():
            percent = min(int(run.done_ms * 100 / run.work_ms), 99) if run.work_ms else 100
            running.append([task, run.number, "", percent, self.tail_ms() if run.serves else run.cpu])
        return 200, reply(running=running, ended=self.ended[:500])


class Link:
    """The link to a server. While it is cut, bytes that were sent before are held up and arrive when it is back, as TCP delivers
    them; a connection that is begun meanwhile is never made."""

    def __init__(self, server):
        self.server = server
        self.whole = asyncio.Event()
        self.whole.set()
        self.address = None
        self.wrote_at = 0.0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.address = server.sockets[0].getsockname()[:2]

    @property
    def text(self):
        return "%s:%d" % self.address

    def cut(self):
        self.whole.clear()

    def heal(self):
        self.whole.set()

    async def serve(self, reader, writer):
        if not self.whole.is_set():
            await self.whole.wait()
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.server.address)
        except OSError:
            # The server's process has ended: the connection is reset.
            writer.transport.abort()
            return

        async def pump(source, target, watch):
            try:
                while True:
                    data = await source.read(65_536)
                    await self.whole.wait()
                    if not data:
                        break
                    if watch and b"/rows-tx" in data and b'"table":"owner"' in data:
                        self.wrote_at = time.monotonic()
                    target.write(data)
                    await target.drain()
                if target.can_write_eof():
                    target.write_eof()
            except (ConnectionError, OSError):
                await self.whole.wait()
                target.transport.abort()

        await asyncio.gather(pump(reader, far_writer, True), pump(far_reader, writer, False))
        for end in (writer, far_writer):
            end.close()


class Host:
    """A machine of the system: one process with the command of the deploy file."""

    def __init__(self, platform, name, ip):
        self.platform = platform
        self.name = name
        self.ip = ip
        self.process = None
        self.link = Link(platform.store.server)

    async def start(self):
        await self.link.start()
        ports = []
        for _ in range(3):
            with socket.socket() as free:
                free.bind((self.ip, 0))
                ports.append(free.getsockname()[1])
        front, ready, inner = ports
        self.front = (self.ip, front)
        settings = {
            "nodeId": self.name, "role": "host", "machineClass": "front", "serves": ["front"], "ip": self.ip,
            "zone": "kairouan-a", "region": "centre-est",
            "zones": {"kairouan-a": "centre-est", "sousse-a": "centre-est", "beja-a": "nord-ouest"},
            "listenAddrs": {"front": f"{self.ip}:{front}", "ready": f"{self.ip}:{ready}"},
            "portRange": [inner, inner], "seeds": [], "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "virtual_ip", "heartbeatMs": 1500,
            "policies": ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 2500,
                "graceS": 6, "lossSlackMs": 200, "configDeadlineMs": 2500, "rollbackSlackMs": 250, "maxStretchMs": 6000,
                "recoveryS": 12, "holdMaxMs": 6000, "stopGraceMs": 200, "gangTimeoutMs": 3000, "cancel_ms": 3000,
                "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "remotePenalty": 2,
                "checkpointIntervalS": 1, "restoreMs": 250, "noticeMs": 5500, "migrateS": 1.5, "maintenanceS": 2,
                "requireFence": True, "leaseMs": 3000, "thawSlackMs": 300, "paceMs": 100, "harmMs": 4000,
            },
            "controlMode": "rpc", "advisor": None,
            "platform": {
                "address": self.link.text, "form": "table", "writesPerS": 800, "readsPerS": 2000,
                "txnTimeoutMs": 3.0, "partWritesS": 300, "rowBytes": 65536, "across": True, "retentionS": 20,
                "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0,
            },
            "cloudApi": None,
        }
        self.settings = os.path.join(self.platform.folder, f"{self.name}.json")
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        await self.spawn()

    async def spawn(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1).split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["LENTILYOKE_SETTINGS"] = self.settings
        log = open(os.path.join(self.platform.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            preexec_fn=end_with_parent,
        )
        log.close()

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Platform:
    """The whole platform with its machines."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="lentilyoke-review-")
        self.store = Store()
        self.executors = []
        self.hosts = []
        self.starts = []
        self.ends = []
        self.on_start = None
        self.on_pace = None

    async def start(self, hosts, labels, routes=None):
        """Starts executors with these labels and as many hosts, and waits until they serve."""
        await self.store.server.start()
        for number, label in enumerate(labels):
            executor = Executor(self, number, label, f"r1-{number // 4}")
            await executor.start()
            self.executors.append(executor)
        self.routes = routes or [route("/desk/")]
        self.store.put(
            "op", "config",
            {
                "version": 7, "routes": self.routes,
                "services": [
                    {"name": "desk", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                     "admissionCheck": False, "standby": False}
                ],
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            },
        )
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        for number in range(hosts):
            host = Host(self, f"front-kairouan-a-{number + 1}", f"{net}.{11 + number}")
            self.hosts.append(host)
            await host.start()
        self.record.add(f"{hosts} hosts and {len(labels)} executors started")

    def started(self, executor, task, number, body):
        self.starts.append(Start(self.record.now(), executor.id, executor.label, executor.born, task, number))
        self.record.add(
            f"executor {executor.id} ({executor.label}, born {executor.born}) starts {task} run {number}, "
            f"token {body.get('fencingToken', 0)}"
        )
        if self.on_start:
            self.on_start(executor, task, number)

    def ended(self, executor, task, number, how):
        self.ends.append(End(self.record.now(), executor.id, task, number, how))
        self.record.add(f"executor {executor.id}: {task} run {number} ended {how}")

    def paced(self, executor, task, run):
        if self.on_pace:
            self.on_pace(executor, task, run)

    def members(self, task, run):
        """The members of a gang's run that are present, with their executors."""
        step = task.rsplit(".", 1)[0]
        found = []
        for executor in self.executors:
            for other, of in executor.runs.items():
                if other.rsplit(".", 1)[0] == step and of.number == run.number:
                    found.append((executor, other))
        return found

    def end_gang(self, task, run, how):
        """Ends the other members of a gang's run as well."""
        for executor, other in self.members(task, run):
            if other in executor.runs and executor.runs[other].gang:
                executor.runs[other].gang = 0
                executor.end(other, how)

    def break_gang(self, task, run):
        if run.gang:
            self.end_gang(task, run, "broken")

    def owner(self):
        """The machine that last wrote to the store under a condition on the system's rows of owners."""
        return max(self.hosts, key=lambda host: host.link.wrote_at)

    async def call(self, host, method, path, body=None, timeout=3.0, leave_after=None):
        """A call of a client. Returns the status and the body, or `None` if there was no answer."""
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: nony24.example\r\nX-Deadline-Ms: {int(timeout * 1000)}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        began = time.monotonic()
        answer = None
        writers = []

        async def exchange():
            reader, writer = await asyncio.open_connection(*host.front)
            writers.append(writer)
            writer.write(head.encode() + data)
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            length = next((int(line.split(":")[1]) for line in lines if line.lower().startswith("content-length")), 0)
            content = await reader.readexactly(length)
            return int(lines[0].split(" ")[1]), content.decode()

        try:
            answer = await asyncio.wait_for(exchange(), leave_after or timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        for writer in writers:
            writer.close()
        took = int((time.monotonic() - began) * 1000)
        shown = f"{answer[0]} {answer[1]}" if answer else ("the client leaves" if leave_after else "no answer")
        self.record.add(f"client: {method} {path} at {host.name} -> {shown} ({took} ms)")
        return answer

    async def submit(self, host, job, spec, phases, prefix="/desk/", **more):
        return await self.call(host, "POST", prefix + job, {"spec": json.dumps(spec), "phases": phases}, **more)

    async def state(self, host, job, prefix="/desk/"):
        answer = await self.call(host, "GET", prefix + job)
        return json.loads(answer[1]).get("state") if answer and answer[0] == 200 else answer

    async def wait_until_served(self):
        """Hands in a small job at each machine until all are completed: the system serves."""
        for host in self.hosts:
            for _ in range(60):
                job = new_job()
                answer = await self.submit(host, job, [{"ms": 50}], [{"count": 1, "cpu": 100, "memMb": 10, "estimateMs": 50}])
                if answer and answer[0] == 200:
                    break
                await asyncio.sleep(0.25)
            else:
                raise CannotRun(f"{host.name} accepts no job")
            for _ in range(40):
                if await self.state(host, job) == "completed":
                    break
                await asyncio.sleep(0.25)
            else:
                raise CannotRun("a first job isn't completed")

    async def stop(self):
        for host in self.hosts:
            await host.end()
        if os.environ.get("KEEP_LOGS"):
            self.record.add(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def end_with_parent():
    """Lets a process that was started end with the one that started it."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class CannotRun(Exception):
    """The case can't be run."""


def route(prefix, **more):
    return {
        "name": "r-" + prefix.strip("/"), "host": "nony24.example", "prefix": prefix, "kind": "non_idempotent",
        "timeoutMs": 3000, "targetLatencyMs": 1200, "priority": 1, "service": "desk", "maxAttempts": 4, "stretch": 2.2,
        **more,
    }


def new_job():
    return f"{random.getrandbits(64):016x}"


# Codes with which a case exits. They differ from those of Python itself, so that an error is never taken for a result.
HELD, BROKEN, COULD_NOT_RUN = 40, 41, 42


def main(case):
    """Runs a case: a coroutine that returns whether the rule held. `run.sh` translates the code with which it exits."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        platform = Platform(folder)
        try:
            held = await asyncio.wait_for(case(platform, trouble), 110)
            platform.record.add("the rule held" if held else "THE RULE WAS BROKEN")
            return HELD if held else BROKEN
        except Exception as error:
            platform.record.add(f"the case could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await platform.stop()

    async def run_and_exit():
        running = asyncio.ensure_future(run())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        try:
            code = await running
        except asyncio.CancelledError:
            code = COULD_NOT_RUN
        sys.stdout.flush()
        # What the stand-ins still serve ends with the process.
        os._exit(code)

    asyncio.run(run_and_exit())
