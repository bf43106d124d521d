"""A small deployment on loopback: entries started as the deploy file says, and
stand-ins for the store, the platform's duty calls, servers and consumers, as
the users' pages describe them."""

import asyncio
import base64
import json
import logging
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
logging.getLogger("asyncio").setLevel(logging.CRITICAL)
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
HOST = "ficu95.example"
FRONT, READY, CONTROL = 8740, 8749, 8748
BOUNDS = dict(seedLagS=3, reuseAfterS=2, contactMs=3000, ackMs=4000, catchUpS=4, drainMs=2000,
              graceS=8, lossSlackMs=200, configApplyMs=2000, downgradeSlackMs=250, skewMs=5000,
              revokeMs=5000, retryBudgetRatio=0.2, retryWindowS=10, retryAllowance=56,
              leaseMs=3000, thawMs=300, usageWindowS=5, usageTolerance=0.05, usageDelayS=10,
              recoveryS=12, eventLagMs=120, reuseWindowS=8.1)


class CannotRun(Exception):
    pass


def free_block(count):
    """Loopback addresses on which no port that is used here is taken."""
    for _ in range(200):
        base = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}."
        hosts = [base + str(10 + i) for i in range(count)]
        try:
            for host in hosts:
                for port in (FRONT, READY, CONTROL, 7210):
                    with socket.socket() as s:
                        s.bind((host, port))
            return hosts
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Record:
    def __init__(self, path):
        self.file, self.start = open(path, "w"), time.monotonic()

    def __call__(self, *parts):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {' '.join(str(p) for p in parts)}\n")
        self.file.flush()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class HttpPeer:
    """Serves HTTP/1.1 requests, one at a time on a connection."""

    async def listen(self, host, port=0):
        self.listener = await asyncio.start_server(self.on_connection, host, port, limit=1 << 22)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]

    async def on_connection(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = line.split(" ", 2)
                if await self.answer(method, target, fields, body, reader, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def reply(writer, status, body=b"", fields=()):
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in fields)
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()


def query_of(target):
    path, _, query = target.partition("?")
    return path, dict(p.partition("=")[::2] for p in query.split("&") if p)


class Store(HttpPeer):
    """The platform's store: logs, the newest records of keyed topics."""

    KEEP_S = 20.0

    def __init__(self, record):
        self.record, self.topics, self.news = record, {}, asyncio.Event()
        self.era = 0
        self.turned_away = set()  # addresses of the store at which it answers 503

    def forget_history(self):
        for topic in self.topics.values():
            topic["start"] += len(topic["records"])
            topic["records"] = []

    def topic(self, name):
        return self.topics.setdefault(name, dict(start=0, records=[], newest={}))

    def append(self, name, records):
        topic = self.topic(name)
        first = topic["start"] + len(topic["records"])
        for record in records:
            offset = topic["start"] + len(topic["records"])
            topic["records"].append((time.monotonic(), record))
            if name.startswith("keyed."):
                key, value = record[1:1 + record[0]], record[1 + record[0]:]
                if value:
                    topic["newest"][key] = (offset, value)
                else:
                    topic["newest"].pop(key, None)
        self.news.set()
        self.news = asyncio.Event()
        return first

    def put(self, topic, key, value):
        key = key.encode()
        text = json.dumps(value).encode() if value is not None else b""
        return self.append(topic, [bytes([len(key)]) + key + text])

    def trim(self):
        for topic in self.topics.values():
            records = topic["records"]
            while records and time.monotonic() - records[0][0] > self.KEEP_S:
                records.pop(0)
                topic["start"] += 1

    async def answer(self, method, target, fields, body, reader, writer):
        path, query = query_of(target)
        name = query.get("topic", "")
        self.trim()
        topic = self.topic(name)
        extra = [("Store-Era", self.era)] if self.era else []
        if "%s:%d" % writer.get_extra_info("sockname")[:2] in self.turned_away:
            return await self.reply(writer, 503, b"{}", extra)
        end = topic["start"] + len(topic["records"])

        async def send(status, document):
            text = document if isinstance(document, bytes) else json.dumps(document).encode()
            await self.reply(writer, status, text, extra)

        if path == "/api/log-append":
            if "at" in query and int(query["at"]) != end:
                return await send(412, {"endOffset": end})
            records = []
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            first = self.append(name, records)
            return await send(200, {"offset": first, "endOffset": first + len(records)})
        if path == "/api/log-read":
            start = int(query.get("from", 0))
            until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
            while True:
                end = topic["start"] + len(topic["records"])
                if start < topic["start"] or start > end:
                    return await send(410, {"startOffset": topic["start"]})
                left = until - time.monotonic()
                if start < end or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.news.wait(), left)
                except asyncio.TimeoutError:
                    pass
            part = b"".join(struct.pack(">I", len(r)) + r
                            for _, r in topic["records"][start - topic["start"]:])
            return await send(200, struct.pack(">QQ", end, topic["start"]) + part)
        if path == "/api/log-newest":
            entries = [{"key": k.decode(), "value": base64.b64encode(v).decode(), "offset": o}
                       for k, (o, v) in sorted(topic["newest"].items())]
            return await send(200, {"entries": entries, "hasMore": False, "endOffset": end})
        await send(404, {})


class Cloud(HttpPeer):
    """The platform's duty calls."""

    def __init__(self, record):
        self.record, self.calls = record, []

    async def answer(self, method, target, fields, body, reader, writer):
        call = dict(at=time.monotonic(), path=target,
                    holder=fields.get("x-monsoonreel-duty-holder"),
                    fence=int(fields.get("x-monsoonreel-fencing-token", -1)),
                    body=json.loads(body))
        self.calls.append(call)
        self.record("cloud", call["path"], call["holder"], call["fence"], json.dumps(call["body"]))
        await self.reply(writer, 200, b"{}")


class Server(HttpPeer):
    """A server of a service. `work` may be replaced."""

    def __init__(self, stage, name, service, zone="fukuoka", slots=128, work=None):
        self.stage, self.name, self.service, self.zone = stage, name, service, zone
        self.slots, self.sequence, self.state = slots, 0, "serving"
        self.born, self.runs, self.do, self.listed = int(time.time() * 1000), [], work, True

    def beat(self):
        self.sequence += 1
        self.stage.store.put("keyed.servers", self.name, dict(
            service=self.service, address=self.address, zone=self.zone, version="v1",
            slots=self.slots, state=self.state, coldRemainingMs=0, sequence=self.sequence,
            born=self.born))

    async def beats(self):
        while True:
            if self.listed:
                self.beat()
            await asyncio.sleep(1.2)

    def signature(self, attempt):
        return f"sig.{self.name}.{attempt}"

    def fields(self, attempt):
        return [("X-Monsoonreel-Attempt-Id", attempt),
                ("X-Monsoonreel-Server-Signature", self.signature(attempt))]

    async def answer(self, method, target, fields, body, reader, writer):
        if target == "/healthz":
            return await self.reply(writer, 200, b"", [("X-Monsoonreel-Instance-Id", self.name)])
        attempt = fields.get("x-monsoonreel-attempt-id", "")
        if fields.get("x-monsoonreel-expect-instance", self.name) != self.name:
            return await self.reply(writer, 421, b"", [("X-Monsoonreel-Instance-Id", self.name)])
        run = dict(at=time.monotonic(), attempt=attempt, method=method, target=target,
                   fields=fields, body=body)
        self.runs.append(run)
        self.stage.record("server", self.name, "runs", attempt, method, target, len(body))
        if self.do:
            return await self.do(self, run, reader, writer)
        await self.reply(writer, 200, b"body of " + attempt.encode(), self.fields(attempt))


class Entry:
    def __init__(self, stage, index, host, zone):
        self.stage, self.host, self.zone, self.index = stage, host, zone, index
        self.name = f"edge-{zone}-{index + 1}"
        self.path = os.path.join(stage.folder, self.name + ".yaml")
        self.store_address = None  # of the store, as this entry sees it
        self.process, self.log = None, os.path.join(stage.folder, self.name + ".log")

    def settings(self):
        s = self.stage
        seeds = "".join(f'  - "{e.host}:{CONTROL}"\n' for e in s.entries[:3])
        zones = "".join(f'  {z}: "kyushu"\n' for z in sorted({e.zone for e in s.entries}))
        bounds = "".join(f"  {k}: {v}\n" for k, v in BOUNDS.items())
        return f'''nodeName: "{self.name}"
role: "entry"
machineClass: "edge"
serves:
  - "edge"
  - "control_plane"
ip: "{self.host}"
zone: "{self.zone}"
region: "kyushu"
zones:
{zones}listen:
  frontend: "{self.host}:{FRONT}"
  readiness: "{self.host}:{READY}"
  controlPlane: "{self.host}:{CONTROL}"
internalPortRange:
  - 7200
  - 7215
seedNodes:
{seeds}isBootstrap: true
isCounted: false
limits:
  cpuQuota: 0.25
  cpuCores: 1
  memoryMb: 260
  maxFds: 4100
  linkMbps: 1000.0
  diskMb: 0
dataPath: null
discovery: "platform"
entry: "virtual_ip"
heartbeatMs: 1200
bounds:
{bounds}  strictRevocation: false
  fencingRequired: false
platform:
  address: "{self.store_address or s.store.address}"
  form: "log"
  writesPerS: 400
  readsPerS: 2000
  parts: 12
  keep_s: 20
cloudApi:
  address: "{s.cloud.address}"
  ratePerS: 50.0
  duties:
    - "metering"
    - "autoscaling"
  dutyPerS: 50.0
'''

    def start(self):
        with open(self.path, "w") as file:
            file.write(self.settings())
        out = open(self.log, "ab")
        env = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        env["MONSOONREEL_CONFIG"] = self.path
        self.process = subprocess.Popen(self.stage.command, cwd=ROOT, stdout=out, stderr=out, env=env)
        self.stage.record("start", self.name, self.process.pid)

    def signal(self, number):
        self.stage.record("signal", self.name, number)
        self.process.send_signal(number)

    async def ready(self, limit=20):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            try:
                r, w = await asyncio.open_connection(self.host, READY)
                w.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(r.readline(), 1)
                w.close()
                if b" 200 " in line:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(self.name + " does not become ready")

    async def ended(self, limit):
        until = time.monotonic() + limit
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll()


class Answer:
    def __init__(self):
        self.status, self.fields, self.body, self.whole, self.why = 0, {}, b"", False, ""

    def __str__(self):
        return f"status={self.status} bytes={len(self.body)} whole={self.whole} {self.why}"


class Client:
    """A consumer's connection."""

    def __init__(self, entry, rcvbuf=0):
        self.entry, self.rcvbuf = entry, rcvbuf

    async def open(self):
        s = socket.socket()
        if self.rcvbuf:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.rcvbuf)
        s.setblocking(False)
        await asyncio.get_running_loop().sock_connect(s, (self.entry.host, FRONT))
        self.reader, self.writer = await asyncio.open_connection(sock=s, limit=1 << 16)
        return self

    @staticmethod
    def text(attempt, method, path, body=b"", deadline=3000, fields=()):
        head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Monsoonreel-Attempt-Id: {attempt}\r\n"
                f"X-Monsoonreel-Deadline-Ms: {deadline}\r\nX-Api-Key: {KEY}\r\n")
        head += "".join(f"{n}: {v}\r\n" for n, v in fields)
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body

    def send(self, attempt, method, path, **named):
        self.entry.stage.record("client", "sends", attempt, method, path, "to", self.entry.name)
        self.writer.write(self.text(attempt, method, path, **named))

    async def receive(self, limit=10.0, rate=0):
        """Reads one answer, at most `rate` bytes a second."""
        answer = Answer()
        try:
            await asyncio.wait_for(self._receive(answer, rate), limit)
        except asyncio.TimeoutError:
            answer.why = "no whole answer in time"
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as e:
            answer.why = "channel ended: " + type(e).__name__
        return answer

    async def _read(self, size, rate):
        data = b""
        while len(data) < size:
            part = await self.reader.read(min(size - len(data), 16384))
            if not part:
                raise asyncio.IncompleteReadError(data, size)
            data += part
            if self.answer is not None:
                self.answer.body += part
            if rate:
                await asyncio.sleep(len(part) / rate)
        return data

    async def _receive(self, answer, rate):
        line, answer.fields = await read_head(self.reader)
        answer.status = int(line.split(" ")[1])
        self.answer = answer
        if answer.fields.get("transfer-encoding") == "chunked":
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                if size == 0:
                    await self.reader.readuntil(b"\r\n")
                    break
                await self._read(size, rate)
                await self.reader.readexactly(2)
        else:
            await self._read(int(answer.fields.get("content-length", 0)), rate)
        answer.whole = True

    def close(self):
        self.writer.close()


def route(name, prefix, kind, service, timeout=15000, target=400, attempts=2, **more):
    return dict(name=name, host=HOST, pathPrefix=prefix, kind=kind, timeoutMs=timeout,
                latencyTargetMs=target, priority=1, service=service, maxAttempts=attempts,
                public=False, sticky=False, resumable=False, **more)


def service(name, **more):
    return dict(name=name, healthPath="/healthz", maxConnections=110, protocol="h1", tls=False, **more)


class Stage:
    def __init__(self, record, entries=3, zones=("fukuoka", "kumamoto", "kagoshima")):
        self.record, self.folder = record, tempfile.mkdtemp(prefix="review3-")
        self.command = [os.path.join(ROOT, "target/bin/monsoonreel-resident"), "--metrics_port=7210"]
        if not os.path.exists(self.command[0]):
            raise CannotRun("the build of the deploy file is missing")
        hosts = free_block(entries + 1)
        self.host = hosts[-1]
        self.store, self.cloud = Store(record), Cloud(record)
        self.entries = [Entry(self, i, hosts[i], zones[i % len(zones)]) for i in range(entries)]
        self.servers, self.tasks, self.version = [], [], 0

    async def start_platform(self):
        await self.store.listen(self.host)
        await self.cloud.listen(self.host)

    async def add_server(self, *args, **named):
        server = Server(self, *args, **named)
        await server.listen(self.host)
        self.servers.append(server)
        self.tasks.append(asyncio.create_task(server.beats()))
        return server

    def configure(self, routes, services, tenants=None, limits=None):
        self.version += 3
        self.store.put("keyed.op", "config", dict(
            version=self.version, routes=routes, services=services,
            limits=limits or dict(maxHeaderBytes=16384, maxBodyBytes=4194304, headerTimeoutMs=3000,
                                  idleTimeoutMs=15000),
            tenants=tenants or [dict(name=TENANT, apiKeys=[KEY])]))
        self.record("operator", "config", self.version)

    async def start_entries(self):
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await entry.ready()

    def stop(self, keep=False):
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            if entry.process and entry.process.poll() is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                entry.process.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, scenario, limit=110):
    """Runs `scenario(record, trouble)`, which returns a list of breaches."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("trouble", int(trouble))
    try:
        breaches = asyncio.run(asyncio.wait_for(scenario(record, trouble), limit))
    except Exception as error:  # anything but a breach that was seen
        record("cannot run:", repr(error))
        print("cannot run:", repr(error))
        return 2
    for breach in breaches:
        record("BREACH", breach)
        print(breach)
    record("held" if not breaches else "broken")
    print("the rule held" if not breaches else "the rule is broken")
    return 1 if breaches else 0
