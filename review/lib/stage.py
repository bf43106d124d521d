"""Stand-ins for the platform, its servers and its consumers, and a small
deployment of the project's program on loopback addresses.

The stand-ins follow PROTOCOL.md; where it is silent, they behave like a sound
platform, server or consumer. Everything runs in one event loop, except the
entries, which are processes that the deploy file's command starts.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# As on the sheet of the small site yuzu-plan.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "downgradeSlackMs": 250, "skewMs": 5000,
    "strictRevocation": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "retryWindowS": 10, "retryAllowance": 56, "fencingRequired": False,
    "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5, "usageTolerance": 0.05,
    "usageDelayS": 10, "recoveryS": 12, "eventLagMs": 120, "reuseWindowS": 8.1,
}
ZONES = ["fukuoka", "kumamoto", "kagoshima"]
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes record.txt: what was sent, answered and run, with its time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP request; returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, mark, value = line.partition(":")
        if mark:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return method, target, headers, body


def answer_bytes(status, headers=(), body=b""):
    reason = {200: "OK", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
              421: "Misdirected Request", 503: "Service Unavailable"}
    text = f"HTTP/1.1 {status} {reason.get(status, 'Status')}\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Listener:
    """An HTTP server on a loopback address of its own."""

    def __init__(self, host):
        self.host = host
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def drop_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        if self.server:
            self.server.close()
        self.drop_connections()


class Topic:
    def __init__(self):
        self.records = []  # (time of the append, bytes)

    @property
    def end(self):
        return len(self.records)


class Store(Listener):
    """The platform's metadata store. `restore` plays a drill: the store is away
    for a moment and comes back from a copy some seconds old."""

    def __init__(self, host, record):
        super().__init__(host)
        self.record = record
        self.topics = {}
        self.era = 1
        self.away = False
        self.gates = {}        # a machine's own way to the store: name, server
        self.rejected = set()  # ports of machines that the store turns away
        self.changed = asyncio.Event()

    async def open_gate(self, name):
        """Opens an address of the store for one machine, so that the store can
        turn just this machine away."""
        self.gates[name] = await asyncio.start_server(
            self._serve, self.host, 0, limit=1 << 20)

    def address_for(self, name):
        port = self.gates[name].sockets[0].getsockname()[1]
        return f"{self.host}:{port}"

    def reject(self, name, turned_away):
        """Turns a machine away with 503, or serves it again."""
        port = self.gates[name].sockets[0].getsockname()[1]
        (self.rejected.add if turned_away else self.rejected.discard)(port)
        self.record.add(f"store {'turns' if turned_away else 'no longer turns'} "
                        f"{name} away")

    def close(self):
        super().close()
        for gate in self.gates.values():
            gate.close()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def add(self, name, data):
        topic = self.topic(name)
        topic.records.append((time.monotonic(), data))
        self.changed.set()
        self.changed = asyncio.Event()
        return topic.end - 1

    def put(self, name, key, value=b""):
        """Writes a keyed record; without a value the key is removed."""
        return self.add(name, bytes([len(key)]) + key.encode() + value)

    def newest(self, name):
        found = {}
        for offset, (_, data) in enumerate(self.topic(name).records):
            key = data[1:1 + data[0]].decode()
            value = data[1 + data[0]:]
            if value:
                found[key] = (offset, value)
            else:
                found.pop(key, None)
        return found

    async def restore(self, away_s, age_s):
        """The store is away, and returns from a copy that was age_s old when it
        went away."""
        copied = time.monotonic() - age_s
        self.away = True
        self.drop_connections()
        self.record.add(f"store away for {away_s} s")
        await asyncio.sleep(away_s)
        lost = {}
        for name, topic in self.topics.items():
            kept = [r for r in topic.records if r[0] <= copied]
            lost[name] = topic.end - len(kept)
            topic.records = kept
        self.era += 1
        self.away = False
        self.record.add(f"store back in era {self.era} from a copy {age_s} s old; "
                        f"lost records: {lost}")

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None or self.away:
                writer.transport.abort()
                return
            method, target, headers, body = message
            parts = urlsplit(target)
            query = {k: v[0] for k, v in parse_qs(parts.query).items()}
            era = self.era
            if writer.get_extra_info("sockname")[1] in self.rejected:
                status, reply, kind = 503, b"{}", "application/json"
            else:
                status, reply, kind = await self.handle(method, parts.path, query,
                                                        body)
            if self.away or era != self.era:
                writer.transport.abort()
                return
            writer.write(answer_bytes(
                status, [("Content-Type", kind), ("Store-Era", self.era)], reply))
            await writer.drain()

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.004)
        js = "application/json"
        topic = self.topic(query.get("topic", ""))
        if (method, path) == ("GET", "/api/log-newest"):
            entries = [{"key": k, "offset": o,
                        "value": base64.b64encode(v).decode()}
                       for k, (o, v) in sorted(self.newest(query["topic"]).items())
                       if k > query.get("after", "")]
            return 200, json.dumps({"entries": entries, "hasMore": False,
                                    "endOffset": topic.end}).encode(), js
        if (method, path) == ("GET", "/api/log-read"):
            begin = int(query["from"])
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while begin == topic.end and time.monotonic() < until and not self.away:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            if begin > topic.end:
                return 410, json.dumps({"startOffset": 0}).encode(), js
            data = topic.end.to_bytes(8, "big") + (0).to_bytes(8, "big")
            for _, each in topic.records[begin:]:
                data += len(each).to_bytes(4, "big") + each
            return 200, data, "application/octet-stream"
        if (method, path) == ("POST", "/api/log-append"):
            if query["topic"] in ("keyed.op", "keyed.servers"):
                return 403, b"{}", js
            if "at" in query and int(query["at"]) != topic.end:
                return 412, json.dumps({"endOffset": topic.end}).encode(), js
            first = topic.end
            while body:
                size = int.from_bytes(body[:4], "big")
                self.add(query["topic"], body[4:4 + size])
                body = body[4 + size:]
            return 200, json.dumps({"offset": first,
                                    "endOffset": topic.end}).encode(), js
        return 404, b"{}", js


class Cloud(Listener):
    """The platform's interface for duties. Keeps every call that it accepts."""

    def __init__(self, host, record):
        super().__init__(host)
        self.record = record
        self.calls = []  # (time, holder, fence, path, body)

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            _, target, headers, body = message
            call = (time.monotonic(), headers.get("x-monsoonreel-duty-holder"),
                    int(headers.get("x-monsoonreel-fencing-token", "-1")),
                    target, json.loads(body))
            self.calls.append(call)
            self.record.add(f"duty call {target} holder={call[1]} "
                            f"generation={call[2]} {json.dumps(call[4])}")
            await asyncio.sleep(0.004)
            writer.write(answer_bytes(200))
            await writer.drain()

    def usage(self):
        """Returns the accepted reports of each window."""
        found = {}
        for at, holder, fence, path, body in self.calls:
            if path == "/usage":
                found.setdefault(body["windowNumber"], []).append(
                    (at, holder, fence, body["counts"]))
        return found

    def holder(self):
        return self.calls[-1][1] if self.calls else None


class Server(Listener):
    """A server of a plain service: `slots` requests at once, and a queue."""

    QUEUE = 24

    def __init__(self, host, record, store, service, zone, work_s, slots=6):
        super().__init__(host)
        self.record, self.store = record, store
        self.service, self.zone, self.slots = service, zone, slots
        self.work_s = work_s
        self.id = f"i-{random.getrandbits(40):010x}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []  # (time, request id, headers, target, body)
        self.taken = 0  # requests that run or wait
        self.free = asyncio.Semaphore(slots)

    def entry(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": "serving",
            "coldRemainingMs": 0, "sequence": self.sequence,
            "born": self.born}).encode()

    def report(self):
        if not self.store.away:
            self.store.put("keyed.servers", self.id, self.entry())

    async def keep_reporting(self):
        while True:
            self.report()
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            method, target, headers, body = message
            if not await self.work(method, target, headers, body, reader, writer):
                return

    async def work(self, method, target, headers, body, reader, writer):
        name = headers.get("x-monsoonreel-attempt-id", "")
        echo = [("X-Monsoonreel-Attempt-Id", name), ("Keep-Alive", "timeout=5")]
        if headers.get("x-monsoonreel-expect-instance", self.id) != self.id:
            writer.write(answer_bytes(
                421, echo + [("X-Monsoonreel-Not-Executed", "1")]))
            await writer.drain()
            return True
        if self.taken >= self.slots + self.QUEUE:
            writer.write(answer_bytes(
                503, echo + [("X-Monsoonreel-Not-Executed", "1")]))
            await writer.drain()
            return True
        self.taken += 1
        try:
            async with self.free:
                self.runs.append((time.monotonic(), name, headers, target, body))
                self.record.add(f"run {name} at {self.id} tenant="
                                f"{headers.get('x-monsoonreel-tenant', '')} {target}")
                await asyncio.sleep(self.work_s)
        finally:
            self.taken -= 1
        data = f"{name} by {self.id}\n".encode()
        mac = hashlib.sha256(data).hexdigest()[:16]
        writer.write(answer_bytes(
            200, echo + [("X-Monsoonreel-Server-Signature", mac)], data))
        await writer.drain()
        return True


class Answer:
    def __init__(self, name, status=0, body=b"", headers=None, error=""):
        self.name, self.status, self.body = name, status, body
        self.headers = headers or {}
        self.error = error  # why there is no complete answer


def request_id():
    return f"{random.getrandbits(64):016x}"


async def read_answer(reader, name):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        return Answer(name, error="closed in the head" if error.partial
                      else "closed without an answer")
    except ConnectionError:
        return Answer(name, error="reset without an answer")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        key, mark, value = line.partition(":")
        if mark:
            headers[key.strip().lower()] = value.strip()
    try:
        if headers.get("transfer-encoding", "") == "chunked":
            body = b""
            while True:
                size = int(await reader.readline(), 16)
                body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    break
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return Answer(name, status, error="closed in the body")
    return Answer(name, status, body, headers)


class Entry:
    """One entry: a process of the project's program."""

    def __init__(self, stage, index, host):
        self.stage, self.host = stage, host
        self.zone = ZONES[index % len(ZONES)]
        self.name = f"edge-{self.zone}-{index // len(ZONES) + 1}"
        self.ports = [free_port(host) for _ in range(3)]
        self.process = None

    @property
    def frontend(self):
        return self.host, self.ports[0]

    def settings(self, seeds, store, cloud):
        lines = [
            f'nodeName: "{self.name}"', 'role: "entry"', 'machineClass: "edge"',
            'serves: ["edge", "control_plane"]', f'ip: "{self.host}"',
            f'zone: "{self.zone}"', 'region: "kyushu"',
            "zones: {" + ", ".join(f'{z}: "kyushu"' for z in ZONES) + "}",
            "listen:", f'  frontend: "{self.host}:{self.ports[0]}"',
            f'  readiness: "{self.host}:{self.ports[1]}"',
            f'  controlPlane: "{self.host}:{self.ports[2]}"',
            "internalPortRange: [7200, 7215]",
            "seedNodes: " + json.dumps(seeds), "isBootstrap: true",
            "isCounted: false",
            "limits: {cpuQuota: 0.25, cpuCores: 1, "
            f"memoryMb: {self.stage.memory_mb}, maxFds: 4100, "
            "linkMbps: 1000.0, diskMb: 0}", "dataPath: null",
            'discovery: "platform"', 'entry: "virtual_ip"',
            f"heartbeatMs: {int(HEARTBEAT_S * 1000)}",
            "bounds: " + json.dumps(BOUNDS),
            f'platform: {{address: "{store}", form: "log", writesPerS: 400, '
            "readsPerS: 2000, parts: 12, appendMs: 2.0, keep_s: 300, "
            "minTtlMs: 1000}",
            f'cloudApi: {{address: "{cloud}", ratePerS: 50.0, '
            'duties: ["metering", "autoscaling"], dutyPerS: 50.0}',
        ]
        return "\n".join(lines) + "\n"

    def start(self):
        path = os.path.join(self.stage.folder, self.name + ".yaml")
        if not os.path.exists(path):
            with open(path, "w", encoding="utf-8") as file:
                file.write(self.settings(self.stage.seeds(),
                                         self.stage.store.address_for(self.name),
                                         self.stage.cloud.address))
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"),
                       "HOME": os.environ.get("HOME", "/"),
                       "LANG": "C.UTF-8", "MONSOONREEL_CONFIG": path}
        self.log = open(os.path.join(self.stage.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            self.stage.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log)
        self.stage.record.add(f"start {self.name} pid {self.process.pid}")

    def signal(self, number):
        self.stage.record.add(f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ports[1])
        except OSError:
            return False
        try:
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, timeout_s):
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def loopback_block(count):
    """Returns loopback hosts on which the deploy file's metrics port is free."""
    for _ in range(50):
        block = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        hosts = [f"{block}.{11 + i}" for i in range(count)]
        try:
            for host in hosts:
                for port in (7210,):
                    with socket.socket() as probe:
                        probe.bind((host, port))
            return hosts
        except OSError:
            continue
    raise CannotRun("no loopback addresses with a free metrics port")


class Stage:
    """A deployment: store, duty interface, servers and entries."""

    def __init__(self, record, entries=3, memory_mb=260):
        self.record, self.memory_mb = record, memory_mb
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            run = tomllib.load(file)["roles"]["entry"]["run"]
        self.command = run.split(" ")
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun("the program is not built")
        hosts = loopback_block(entries + 1)
        self.host = hosts[-1]
        self.store = Store(self.host, record)
        self.cloud = Cloud(self.host, record)
        self.servers = []
        self.entries = [Entry(self, i, host) for i, host in enumerate(hosts[:-1])]
        self.tasks = []
        self.version = 0

    def seeds(self):
        return [f"{e.host}:{e.ports[2]}" for e in self.entries][:3]

    def task(self, work):
        task = asyncio.create_task(work)
        self.tasks.append(task)
        return task

    async def open(self):
        await self.store.open()
        for entry in self.entries:
            await self.store.open_gate(entry.name)
        await self.cloud.open()

    async def add_server(self, service, zone, work_s, slots=6, kind=Server):
        server = kind(self.host, self.record, self.store, service, zone, work_s,
                      slots)
        await server.open()
        self.servers.append(server)
        self.task(server.keep_reporting())
        return server

    def configure(self, document):
        """Writes a version of the configuration; returns the time of its ack."""
        self.version = document["version"]
        self.config = json.dumps(document).encode()
        self.store.put("keyed.op", "config", self.config)
        self.record.add(f"operator writes version {self.version}, acknowledged")
        return time.monotonic()

    async def start_entries(self, settle_s=4.0):
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await entry.wait_ready(15)
        await asyncio.sleep(settle_s)

    def close(self):
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            if entry.process and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        for listener in [self.store, self.cloud, *self.servers]:
            listener.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def config_of(version, routes, tenants, services=None):
    return {
        "version": version, "routes": routes,
        "services": services or [
            {"name": "booking", "healthPath": "/healthz", "maxConnections": 110,
             "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants,
    }


def route_of(name, prefix, kind, service="booking", attempts=1, timeout_ms=3000):
    return {"name": name, "host": "desk.example", "pathPrefix": prefix,
            "kind": kind, "timeoutMs": timeout_ms, "latencyTargetMs": 300,
            "priority": 2, "service": service, "maxAttempts": attempts,
            "public": False}


def head_of(method, path, name, key, length=0, deadline_ms=3000):
    text = (f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\n"
            f"X-Monsoonreel-Attempt-Id: {name}\r\n"
            f"X-Monsoonreel-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {key}\r\n")
    if method != "GET":
        text += f"Content-Length: {length}\r\n"
    return (text + "\r\n").encode()


async def ask(entry, method, path, key, body=b"", name=None, timeout_s=5.0):
    """Sends one request on a new channel and reads its answer."""
    name = name or request_id()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*entry.frontend, limit=1 << 20), 1)
    except (OSError, asyncio.TimeoutError) as error:
        return Answer(name, error=f"no channel: {error}")
    try:
        writer.write(head_of(method, path, name, key, len(body)) + body)
        return await asyncio.wait_for(read_answer(reader, name), timeout_s)
    except asyncio.TimeoutError:
        return Answer(name, error="no answer in time")
    except ConnectionError as error:
        return Answer(name, error=f"reset: {error}")
    finally:
        writer.close()


def main(play, folder):
    """Runs a case: play(record, trouble) returns whether its rule was broken."""
    # Ends what was started also when the script is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.add(f"trouble {'on' if trouble else 'off'}")
    try:
        broken = asyncio.run(asyncio.wait_for(play(record, trouble), 110))
    except CannotRun as error:
        record.add(f"could not run: {error}")
        print(f"could not run: {error}")
        sys.exit(2)
    except Exception as error:  # a fault of the script is no result either
        record.add(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    text = "the rule was broken" if broken else "the rule held"
    record.add(text)
    print(text)
    sys.exit(1 if broken else 0)
