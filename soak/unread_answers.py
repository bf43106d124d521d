#!/usr/bin/env python3
"""Callers that pipeline requests and do not read their answers, against one
entry on loopback with lowered limits.

    soak/unread_answers.py --program build/release/bin/monsoonreel-resident --kind gets

Guards against an entry that holds unread input or unread answers without a
bound, and is killed by the platform for its memory. Prints each breach of

    ENDED        the process lives
    MEMORY       its anonymous memory stays under limits.memoryMb
    DESCRIPTORS  its open descriptors stay under limits.maxFds
    ORDINARY     an ordinary request is answered with 200 and its own body
    DRAIN        (kind drain) it ends by itself with status 0 after SIGTERM

and exits with 1 if there is any, with 2 if the test could not run. The stand-ins
are those of review/lib/stage.py.
"""

import argparse
import asyncio
import os
import resource
import signal
import socket
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import stage as st  # noqa: E402

KEY = "xd9dnn2ctnfzs989anu6"
MEMORY_MB = 110
MEMORY_BYTES = MEMORY_MB * 1_000_000
MAX_FDS = 700
CONNECTIONS = 20
SILENT_CONNECTIONS = 1000
RECEIVE_BUFFER = 4096

GETS = 2000             # on each connection, 40,000 in all
BODY_BYTES = 30_000_000  # on each connection, 600 MB in all
SMALL_BODY = bytes(60_000)    # below 64 KB, so read without a reservation
LARGE_BODY = bytes(4_000_000)
MAX_BODY = bytes(4_194_304)   # maxBodyBytes
CHUNK = 1000
PIECE = 1 << 16

LOAD_S = 10.0
STUCK_S = 3.0            # a sender whose bytes are not taken for this long ends
DRAIN_AFTER_S = 3.0
DRAIN_MARGIN_S = 7.0     # beyond graceS, for a busy machine
ORDINARY_S = 8.0
TIMEOUT_MS = 10_000      # of the routes and requests
SAMPLE_S = 0.05
WHOLE_S = 60             # ends the test itself
NOT_RUN = (408, 421, 429, 503)


class LimitedEntry(st.Entry):
    def settings(self, seeds, store, cloud):
        text = super().settings(seeds, store, cloud)
        if "maxFds: 4100" not in text:
            raise st.CannotRun("the stage's settings have another maxFds")
        return text.replace("maxFds: 4100", f"maxFds: {MAX_FDS}")


class PressureStage(st.Stage):
    """A deployment with one entry, which runs the given program."""

    def __init__(self, record, program):
        self.record, self.memory_mb = record, MEMORY_MB
        self.folder = tempfile.mkdtemp(prefix="unread-")
        self.command = [program, "--metrics_port=7210"]
        hosts = st.loopback_block(2)
        self.host = hosts[-1]
        self.store = st.Store(self.host, record)
        self.cloud = st.Cloud(self.host, record)
        self.servers, self.tasks, self.version = [], [], 0
        self.entries = [LimitedEntry(self, 0, hosts[0])]


class PageServer(st.Server):
    """Takes bodies of any framing and answers at once with 64 KB."""

    READ, PAUSE_S = PIECE, 0.0
    PAGE = b"p" * 65_536

    async def serve(self, reader, writer):
        while True:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = {}
                for line in head.decode("latin-1").split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                await self.read_body(reader, headers)
            except asyncio.IncompleteReadError:
                return
            await self.answer(writer, headers.get("x-monsoonreel-attempt-id", ""))

    async def read_body(self, reader, headers):
        if headers.get("transfer-encoding") != "chunked":
            await self.skip(reader, int(headers.get("content-length", "0")))
            return
        size = 1
        while size:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            await self.skip(reader, size + 2)

    async def skip(self, reader, size):
        while size:
            size -= len(await reader.readexactly(min(size, self.READ)))
            if self.PAUSE_S:
                await asyncio.sleep(self.PAUSE_S)

    async def answer(self, writer, name):
        writer.write(st.answer_bytes(200, [
            ("X-Monsoonreel-Attempt-Id", name), ("Keep-Alive", "timeout=5"),
            ("X-Monsoonreel-Server-Signature", "s")], self.PAGE))
        await writer.drain()


class EventServer(PageServer):
    """Answers with a stream of 400 events."""

    EVENTS, TOGETHER = 400, 40

    async def answer(self, writer, name):
        writer.write((
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"X-Monsoonreel-Attempt-Id: {name}\r\nKeep-Alive: timeout=5\r\n"
            "X-Monsoonreel-Server-Signature: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n").encode())
        for first in range(0, self.EVENTS, self.TOGETHER):
            chunks = b""
            for i in range(first + 1, first + self.TOGETHER + 1):
                event = f"id: {i}\ndata: {name} {i} {'e' * 128}\n\n".encode()
                chunks += f"{len(event):x}\r\n".encode() + event + b"\r\n"
            writer.write(chunks)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class SlowServer(PageServer):
    """Reads a body at 40 KB/s, with little room for what it has not read."""

    READ, PAUSE_S = 4096, 0.1

    async def open(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        listener.bind((self.host, 0))
        self.server = await asyncio.start_server(self._serve, sock=listener,
                                                 limit=1 << 15)
        self.port = listener.getsockname()[1]


SERVICES = {"booking": st.Server, "page": PageServer, "events": EventServer,
            "slow": SlowServer}


ROUTES = (("book", "non_idempotent", "booking"), ("page", "idempotent", "page"),
          ("form", "non_idempotent", "page"), ("events", "streaming", "events"),
          ("slow", "non_idempotent", "slow"))


def config():
    routes = [st.route_of(name, f"/{name}/", kind, service, timeout_ms=TIMEOUT_MS)
              for name, kind, service in ROUTES]
    services = [{"name": name, "healthPath": "/healthz", "maxConnections": 110,
                 "protocol": "h1", "tls": False} for name in SERVICES]
    return st.config_of(3, routes,
                        [{"name": "huka270", "apiKeys": [KEY], "priority": 1}],
                        services)


def head(method, path, length=0, name=None):
    return st.head_of(method, path, name or st.request_id(), KEY, length, TIMEOUT_MS)


def posts(path, body):
    for _ in range(BODY_BYTES // len(body)):
        yield head("POST", path, len(body))
        yield body


def gets(_):
    for _ in range(GETS):
        yield head("GET", "/page/2f")


def streams(_):
    for _ in range(GETS):
        yield head("GET", "/events/2f")


def bodies(_):
    return posts("/form/2f", SMALL_BODY)


def chunked_bodies(index):
    """Half of the connections send large bodies, whose length is not stated."""
    body = LARGE_BODY if index % 2 else SMALL_BODY
    chunk = f"{CHUNK:x}\r\n".encode() + bytes(CHUNK) + b"\r\n"
    data = chunk * (len(body) // CHUNK) + b"0\r\n\r\n"
    for _ in range(BODY_BYTES // len(body)):
        yield head("POST", "/form/2f").replace(b"Content-Length: 0",
                                               b"Transfer-Encoding: chunked")
        yield data


def half_requests(index):
    """The longest body without its last byte, half of them behind unread answers."""
    if index % 2:
        for _ in range(10):
            yield head("GET", "/page/2f")
    yield head("POST", "/form/2f", len(MAX_BODY))
    yield MAX_BODY[:-1]


def slow_bodies(index):
    return posts("/slow/2f", LARGE_BODY if index % 2 else SMALL_BODY)


MIXED = (gets, streams, bodies, chunked_bodies, half_requests, slow_bodies)


def mixed(index):
    # Two neighbours send one kind, so that each kind has even and odd indexes.
    return MIXED[index // 2 % len(MIXED)](index)


KINDS = {"gets": gets, "streams": streams, "bodies": bodies,
         "chunked-bodies": chunked_bodies, "half-requests": half_requests,
         "byte-a-second": gets, "silent-connections": None,
         "slow-upstream": slow_bodies, "drain": mixed}


class Caller:
    """A connection with a small receive buffer, open until the test ends."""

    def __init__(self):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self.socket.setblocking(False)
        self.sent = 0

    async def connect(self, address):
        """Returns whether the entry took the connection."""
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(self.socket, address), 2)
            return True
        except (OSError, asyncio.TimeoutError):
            return False

    async def send(self, pieces):
        """Sends until the pieces end, or the entry closes or takes nothing."""
        taken = time.monotonic()
        for piece in pieces:
            rest = memoryview(piece)
            while rest:
                try:
                    count = self.socket.send(rest[:PIECE])
                except BlockingIOError:
                    if time.monotonic() - taken > STUCK_S:
                        return
                    await asyncio.sleep(0.02)
                    continue
                except OSError:
                    return
                rest, taken = rest[count:], time.monotonic()
                self.sent += count
                await asyncio.sleep(0)

    async def read_slowly(self):
        """Reads one byte a second until the load ends."""
        for _ in range(int(LOAD_S)):
            await asyncio.sleep(1)
            try:
                if not self.socket.recv(1):
                    return
            except BlockingIOError:
                pass
            except OSError:
                return


class Meter(threading.Thread):
    """Samples a process in a thread of its own: the event loop is busy."""

    def __init__(self, pid):
        super().__init__(daemon=True)
        self.pid = pid
        self.memory = self.descriptors = self.samples = 0
        self.over = threading.Event()

    def run(self):
        while not self.over.wait(SAMPLE_S):
            try:
                count = len(os.listdir(f"/proc/{self.pid}/fd"))
                with open(f"/proc/{self.pid}/status", encoding="utf-8") as file:
                    kib = [int(line.split()[1]) for line in file
                           if line.startswith("RssAnon:")]
            except OSError:  # the process has ended
                continue
            self.descriptors = max(self.descriptors, count)
            if kib:
                self.memory = max(self.memory, kib[0] * 1024)
                self.samples += 1

    def stop(self):
        self.over.set()
        if self.is_alive():
            self.join(5)


class Pressure:
    def __init__(self, stage, kind):
        self.stage, self.kind = stage, kind
        self.entry = stage.entries[0]
        self.meter = None
        self.callers = []
        self.breaches = []

    def breach(self, rule, text):
        self.stage.record.add(f"{rule}: {text}")
        self.breaches.append(f"{rule}: {text}")

    async def ask_once(self):
        name, writer = st.request_id(), None
        try:
            reader, writer = await asyncio.open_connection(*self.entry.frontend)
            writer.write(head("POST", "/book/2f", 64, name) + b"x" * 64)
            answer = await st.read_answer(reader, name)
        except OSError as error:
            answer = st.Answer(name, error=repr(error))
        finally:
            if writer:
                writer.close()
        self.stage.record.add(f"ordinary request {name}: {answer.status} {answer.error}")
        return answer

    async def ask(self):
        """One ordinary request, which is sent again when its rejection guarantees
        that it has not run. Returns what is wrong with the answer, if anything."""
        until = time.monotonic() + ORDINARY_S
        answer = st.Answer("")
        while True:
            try:
                answer = await asyncio.wait_for(self.ask_once(),
                                                until - time.monotonic())
            except asyncio.TimeoutError:
                return f"no answer within {ORDINARY_S} s, last status {answer.status}"
            if answer.error or answer.status not in NOT_RUN:
                break
            await asyncio.sleep(0.5)
        if (answer.status == 200 and not answer.error
                and answer.body.startswith(answer.name.encode() + b" by ")):
            return ""
        return f"status {answer.status} {answer.error} {answer.body[:80]!r}"

    async def load(self, lasts_s):
        """Opens the connections, sends the load and waits until lasts_s are over."""
        begin = time.monotonic()
        silent = self.kind == "silent-connections"
        for index in range(SILENT_CONNECTIONS if silent else CONNECTIONS):
            if time.monotonic() - begin > lasts_s:
                break
            caller = Caller()
            self.callers.append(caller)
            if not await caller.connect(self.entry.frontend):
                continue
            if not silent:
                self.stage.task(caller.send(KINDS[self.kind](index)))
            if self.kind == "byte-a-second":
                self.stage.task(caller.read_slowly())
        # What follows a breach tells nothing more, and costs memory of the machine.
        while (time.monotonic() - begin < lasts_s
               and self.entry.process.poll() is None
               and self.meter.memory < 10 * MEMORY_BYTES):
            await asyncio.sleep(0.1)
            for task in self.stage.tasks:
                if task.done() and task.exception():
                    raise task.exception()

    async def check_afterwards(self):
        wrong = await self.ask()
        if self.entry.process.poll() is not None:
            self.breach("ENDED", f"with status {self.entry.process.returncode}")
        if wrong:
            self.breach("ORDINARY", wrong)

    async def check_drain(self):
        """Sends SIGTERM while an ordinary request is at its upstream."""
        for server in self.stage.servers:
            server.runs.clear()
        ordinary = self.stage.task(self.ask())
        while (not any(server.runs for server in self.stage.servers)
               and not ordinary.done()):
            await asyncio.sleep(0.01)
        if self.entry.process.poll() is not None:
            self.breach("ENDED", f"with status {self.entry.process.returncode}")
        self.entry.signal(signal.SIGTERM)
        until = time.monotonic() + st.BOUNDS["graceS"] + DRAIN_MARGIN_S
        while self.entry.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        status = self.entry.process.poll()
        if status != 0:
            self.breach("DRAIN", f"status {status} (None: the process has not ended)")
        wrong = await ordinary
        if wrong:
            self.breach("ORDINARY", wrong)

    async def play(self):
        await self.stage.open()
        for service, kind in SERVICES.items():
            work_s = 0.5 if service == "booking" and self.kind == "drain" else 0.03
            for zone in st.ZONES:
                await self.stage.add_server(service, zone, work_s, 100, kind)
        self.stage.configure(config())
        await self.stage.start_entries(settle_s=1.0)
        wrong = await self.ask()
        if wrong:
            raise st.CannotRun(f"no answer without a load: {wrong}")
        self.meter = Meter(self.entry.process.pid)
        self.meter.start()
        if self.kind == "drain":
            await self.load(DRAIN_AFTER_S)
            await self.check_drain()
        else:
            await self.load(LOAD_S)
            await self.check_afterwards()
        self.meter.stop()
        self.check_bounds()

    def check_bounds(self):
        if not self.meter.samples:
            raise st.CannotRun("the memory of the process was not read")
        if self.meter.memory >= MEMORY_BYTES:
            self.breach("MEMORY", f"{self.meter.memory / 1e6:.0f} MB of {MEMORY_MB} MB")
        if self.meter.descriptors >= MAX_FDS:
            self.breach("DESCRIPTORS", f"{self.meter.descriptors} of {MAX_FDS}")

    def close(self):
        if self.meter:
            self.meter.stop()
        self.stage.close()
        for caller in self.callers:
            caller.socket.close()


async def run(options):
    record = st.Record(options.record or os.devnull)
    stage = PressureStage(record, os.path.abspath(options.program))
    pressure = Pressure(stage, options.kind)
    try:
        await asyncio.wait_for(pressure.play(), WHOLE_S)
    finally:
        pressure.close()
        # Python 3.11's wait_for can lose a cancellation.
        if stage.tasks:
            await asyncio.wait(stage.tasks, timeout=5)
    return pressure


def main():
    parser = argparse.ArgumentParser(description="Callers that do not read.")
    parser.add_argument("--program", required=True, help="the resident program")
    parser.add_argument("--kind", required=True, choices=KINDS)
    parser.add_argument("--record", help="file for what was run and answered")
    options = parser.parse_args()
    # Ends the entry also when the script is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 2 * SILENT_CONNECTIONS + MAX_FDS  # of this process and of the entry
    try:
        if soft != resource.RLIM_INFINITY and soft < wanted:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        pressure = asyncio.run(run(options))
    except (st.CannotRun, OSError, ValueError, asyncio.TimeoutError) as error:
        print(f"unread answers: {options.kind} could not run: {error!r}")
        return 2
    for text in pressure.breaches:
        print(text)
    sent = sum(caller.sent for caller in pressure.callers)
    print(f"unread answers: {options.kind}, {len(pressure.callers)} connections, "
          f"{sent / 1e6:.1f} MB sent, peak memory {pressure.meter.memory / 1e6:.0f} "
          f"MB, peak descriptors {pressure.meter.descriptors}, "
          f"{len(pressure.breaches)} breaches")
    return 1 if pressure.breaches else 0


if __name__ == "__main__":
    sys.exit(main())
