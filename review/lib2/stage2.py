"""Stand-ins and processes for the cases of the second review.

Everything runs on loopback addresses. The store, the platform's interface and
the servers are small stand-ins that follow the users' pages (PROTOCOL.md); the
entries are the program of the deploy file, one process each.

    stage = Stage(entries=2, record=Record(folder))
    stage.start_servers(...)
    stage.configure()
    stage.start_entries()
    ...
    stage.close()
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
FRONTEND, READINESS, CONTROL, METRICS = 8740, 8749, 8748, 7210

# Of the small site cierto-conteo.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
    "configApplyMs": 2000, "downgradeSlackMs": 250, "skewMs": 5000,
    "strictRevocation": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "retryWindowS": 10, "retryAllowance": 56, "fencingRequired": False,
    "leaseMs": 3000, "thawMs": 300, "usageWindowS": 5, "usageTolerance": 0.05,
    "usageDelayS": 10, "recoveryS": 12, "eventLagMs": 120, "reuseWindowS": 6.5,
}
KEEP_S = 20  # "20 s of history"
USAGE_WINDOW_S = BOUNDS["usageWindowS"]


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """The log of a run: what was sent, answered and run."""

    def __init__(self, folder):
        self.lines = []
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.path = os.path.join(folder, "record.txt")
        self.file = open(self.path, "w", encoding="utf-8")

    def add(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.begin:8.3f} {text}"
            self.file.write(line + "\n")
            self.file.flush()


def deploy_command():
    """The words of the line `run` in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        for line in file:
            if line.startswith("run = "):
                return line.split('"')[1].split(" ")
    raise CannotRun("the deploy file has no line `run`")


def loopback_hosts(count):
    """Addresses of 127.0.0.0/8 on which the ports of the entries are free."""
    for _ in range(200):
        block = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        hosts = [f"{block}.{i + 1}" for i in range(count)]
        try:
            for host in hosts:
                for port in (FRONTEND, READINESS, CONTROL, METRICS):
                    with socket.socket() as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        return hosts
    raise CannotRun("no free loopback addresses")


def listen_on(host, receive_buffer=0):
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.bind((host, 0))
    sock.listen(512)
    return sock


def read_until(conn, mark, rest):
    while mark not in rest:
        more = conn.recv(16384)
        if not more:
            return None, rest
        rest += more
    head, rest = rest.split(mark, 1)
    return head, rest


def parse_head(head):
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class HttpStandin:
    """A server with a thread for each connection."""

    def __init__(self, host, receive_buffer=0):
        self.sock = listen_on(host, receive_buffer)
        self.host, self.port = self.sock.getsockname()
        self.address = f"{self.host}:{self.port}"
        self.conns = set()
        self.closed = False
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.closed:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.conns.add(conn)
            threading.Thread(target=self.run, args=(conn,), daemon=True).start()

    def run(self, conn):
        try:
            self.serve(conn)
        except OSError:
            pass
        finally:
            self.conns.discard(conn)
            try:
                conn.close()
            except OSError:
                pass

    def serve(self, conn):
        rest = b""
        while True:
            head, rest = read_until(conn, b"\r\n\r\n", rest)
            if head is None:
                return
            line, headers = parse_head(head)
            method, target, _ = line.split(" ", 2)
            size = int(headers.get("content-length", "0"))
            while len(rest) < size:
                more = conn.recv(65536)
                if not more:
                    return
                rest += more
            body, rest = rest[:size], rest[size:]
            if not self.handle(conn, method, target, headers, body):
                return

    def handle(self, conn, method, target, headers, body):
        raise NotImplementedError

    def shut(self):
        self.closed = True
        for conn in [self.sock] + list(self.conns):
            try:
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            try:
                conn.close()
            except OSError:
                pass


def query_of(target):
    path, _, text = target.partition("?")
    return path, dict(p.split("=", 1) for p in text.split("&") if "=" in p)


class Topic:
    def __init__(self):
        self.start = 0
        self.records = []  # (time, bytes)

    @property
    def end(self):
        return self.start + len(self.records)


class Store:
    """The platform's store: a log with keyed topics, one listener an entry."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Condition()
        self.topics = {}
        self.era = 1
        self.away = False
        self.ports = []
        self.copies = []  # (time, copy of the topics)
        self.operator = {}  # what the operator and the servers wrote last
        self.closed = False
        threading.Thread(target=self.keep_copies, daemon=True).start()

    def port(self, host, name):
        port = StorePort(host, self, name)
        self.ports.append(port)
        return port

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def expire(self):
        now = time.monotonic()
        for name, topic in self.topics.items():
            if name.startswith("keyed."):
                continue
            while topic.records and now - topic.records[0][0] > KEEP_S:
                topic.records.pop(0)
                topic.start += 1

    def keep_copies(self):
        while not self.closed:
            with self.lock:
                copy = {}
                for name, topic in self.topics.items():
                    copy[name] = Topic()
                    copy[name].start = topic.start
                    copy[name].records = list(topic.records)
                self.copies.append((time.monotonic(), copy))
                self.copies = self.copies[-200:]
            time.sleep(0.1)

    def put(self, topic, key, value):
        """A write of the operator or of a server."""
        with self.lock:
            if value is None:
                self.operator.pop((topic, key), None)
            else:
                self.operator[(topic, key)] = value
            self.append_keyed(topic, key, value)

    def append_keyed(self, topic, key, value):
        text = b"" if value is None else json.dumps(value).encode()
        data = bytes([len(key)]) + key.encode() + text
        self.topic(topic).records.append((time.monotonic(), data))
        self.lock.notify_all()

    def leave(self):
        """The store is away: it accepts no calls and resets open channels."""
        with self.lock:
            self.away = True
            self.lock.notify_all()
        for port in self.ports:
            for conn in list(port.conns):
                try:
                    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    struct.pack("ii", 1, 0))
                    conn.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def restore(self, age_s):
        """Comes back from a copy that is at least age_s old, in a new era."""
        now = time.monotonic()
        with self.lock:
            old = [c for t, c in self.copies if now - t >= age_s]
            if not old:
                raise CannotRun("no copy is old enough")
            self.topics = old[-1]
            self.copies = []
            self.era += 1
            # What the operator and the servers wrote is written again.
            for (topic, key), value in self.operator.items():
                self.append_keyed(topic, key, value)
            self.away = False
            self.lock.notify_all()
        self.record.add(f"store: back from a copy, Store-Era {self.era}")


class StorePort(HttpStandin):
    """The store's address as one entry knows it."""

    def __init__(self, host, store, name):
        self.store, self.name = store, name
        self.refuses = False  # turns this entry away with 503
        self.appends = 0
        super().__init__(host)

    def answer(self, conn, status, body=b"", kind="application/json"):
        head = (f"HTTP/1.1 {status} X\r\nStore-Era: {self.store.era}\r\n"
                f"Content-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n")
        conn.sendall(head.encode() + body)
        return True

    def say(self, conn, status, **fields):
        return self.answer(conn, status, json.dumps(fields).encode())

    def handle(self, conn, method, target, headers, body):
        time.sleep(0.004)
        if self.store.away:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                            struct.pack("ii", 1, 0))
            return False
        if self.refuses:
            return self.say(conn, 503, reason="busy")
        path, query = query_of(target)
        if path == "/api/log-append":
            return self.append(conn, query, body)
        if path == "/api/log-read":
            return self.read(conn, query)
        if path == "/api/log-newest":
            return self.newest(conn, query)
        return self.say(conn, 404)

    def append(self, conn, query, body):
        store = self.store
        with store.lock:
            store.expire()
            topic = store.topic(query["topic"])
            if "at" in query and int(query["at"]) != topic.end:
                return self.say(conn, 412, endOffset=topic.end)
            first = topic.end
            while body:
                size = struct.unpack(">I", body[:4])[0]
                topic.records.append((time.monotonic(), body[4:4 + size]))
                body = body[4 + size:]
            self.appends += 1
            store.lock.notify_all()
            end = topic.end
        return self.say(conn, 200, offset=first, endOffset=end)

    def read(self, conn, query):
        store, start = self.store, int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        with store.lock:
            while True:
                if store.away:
                    return False
                store.expire()
                topic = store.topic(query["topic"])
                if start < topic.start or start > topic.end:
                    return self.say(conn, 410, startOffset=topic.start)
                left = until - time.monotonic()
                if start < topic.end or left <= 0:
                    break
                store.lock.wait(min(left, 0.5))
            body = struct.pack(">QQ", topic.end, topic.start)
            for _, data in topic.records[start - topic.start:]:
                body += struct.pack(">I", len(data)) + data
        return self.answer(conn, 200, body, "application/octet-stream")

    def newest(self, conn, query):
        store = self.store
        with store.lock:
            topic = store.topic(query["topic"])
            values = {}
            for offset, (_, data) in enumerate(topic.records, topic.start):
                key = data[1:1 + data[0]].decode()
                value = data[1 + data[0]:]
                values.pop(key, None)
                if value:
                    values[key] = (offset, value)
            entries = [{"key": key, "offset": offset,
                        "value": base64.b64encode(value).decode()}
                       for key, (offset, value) in sorted(values.items())]
            end = topic.end
        return self.say(conn, 200, entries=entries, hasMore=False, endOffset=end)


class Cloud(HttpStandin):
    """The platform's interface for duties. Accepts every call."""

    def __init__(self, host, record):
        self.record = record
        self.calls = []  # (time, path, holder, fence, body)
        super().__init__(host)

    def handle(self, conn, method, target, headers, body):
        call = (time.monotonic(), target, headers.get("x-monsoonreel-duty-holder"),
                int(headers.get("x-monsoonreel-fencing-token", "-1")),
                json.loads(body or b"{}"))
        self.calls.append(call)
        self.record.add(f"platform: {target} holder={call[2]} number={call[3]} "
                        f"{json.dumps(call[4])}")
        conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                     b"Content-Length: 2\r\n\r\n{}")
        return True


class Server(HttpStandin):
    """A server of a plain service. Answers with `size` bytes."""

    def __init__(self, host, service, ident, record, size=800, work_s=0.03,
                 receive_buffer=0):
        self.service, self.ident, self.record = service, ident, record
        self.size, self.work_s = size, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs = []
        super().__init__(host, receive_buffer)

    def entry(self, zone):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": zone,
                "version": 1, "slots": 6, "state": "serving",
                "coldRemainingMs": 0, "sequence": self.sequence,
                "born": self.born}

    def head(self, headers, length):
        lines = ["HTTP/1.1 200 OK",
                 "X-Monsoonreel-Attempt-Id: " + headers["x-monsoonreel-attempt-id"],
                 "X-Monsoonreel-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1",
                 "Content-Type: application/octet-stream"]
        if length is not None:
            lines += [f"Content-Length: {length}", "Keep-Alive: timeout=5"]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def handle(self, conn, method, target, headers, body):
        expected = headers.get("x-monsoonreel-expect-instance")
        if expected not in (None, self.ident):
            conn.sendall(b"HTTP/1.1 421 X\r\nX-Monsoonreel-Not-Executed: 1\r\n"
                         b"Content-Length: 0\r\n\r\n")
            return True
        self.runs.append((time.monotonic(), headers["x-monsoonreel-attempt-id"]))
        time.sleep(self.work_s)
        conn.sendall(self.head(headers, self.size) + b"a" * self.size)
        return True


def config_of(version, services, routes, max_body=4194304):
    return {
        "version": version, "routes": routes, "services": services,
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body,
                   "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
    }


def route_of(name, service, kind, timeout_ms=15000, attempts=2):
    return {"name": name, "host": "ficu95.example", "pathPrefix": f"/{name}/",
            "kind": kind, "timeoutMs": timeout_ms, "latencyTargetMs": 150,
            "priority": 2, "service": service, "maxAttempts": attempts,
            "public": False}


class Entry:
    def __init__(self, stage, index, host, zone):
        self.stage, self.host, self.zone = stage, host, zone
        self.name = f"edge-{zone}-{index + 1}"
        self.store = stage.store.port(stage.host, self.name)
        self.process = None
        self.path = os.path.join(stage.folder, f"{self.name}.yaml")
        self.log = os.path.join(stage.folder, f"{self.name}.log")

    def settings(self):
        stage = self.stage
        return {
            "nodeName": self.name, "role": "entry", "machineClass": "edge",
            "serves": ["edge", "control_plane"], "ip": self.host,
            "zone": self.zone, "region": "andina",
            "zones": {zone: "andina" for zone in stage.zones},
            "listen": {"frontend": f"{self.host}:{FRONTEND}",
                       "readiness": f"{self.host}:{READINESS}",
                       "controlPlane": f"{self.host}:{CONTROL}"},
            "internalPortRange": [7200, 7215],
            "seedNodes": [f"{e.host}:{CONTROL}" for e in stage.entries[:3]],
            "isBootstrap": True, "isCounted": False,
            "limits": {"cpuQuota": 0.25, "cpuCores": 1, "memoryMb": 110,
                       "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataPath": None, "discovery": "platform", "entry": "virtual_ip",
            "heartbeatMs": 1200, "invariants": ["base", "drain", "leader"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {"address": self.store.address, "form": "log",
                         "writesPerS": 400, "readsPerS": 2000, "parts": 12,
                         "appendMs": 2.0, "partMbPerS": 20.0,
                         "readMbPerS": 80.0, "maxRecordBytes": 262144,
                         "maxCallBytes": 2097152, "keep_s": KEEP_S,
                         "partitionMb": 200, "minTtlMs": 1000},
            "cloudApi": {"address": stage.cloud.address, "ratePerS": 50.0,
                         "duties": ["metering"], "dutyPerS": 50.0},
        }

    def start(self):
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)  # JSON is YAML
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG", "ASAN_OPTIONS")
                       if name in os.environ}
        environment["MONSOONREEL_CONFIG"] = self.path
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.stage.command, cwd=ROOT, env=environment, stdout=log,
                stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((self.host, READINESS), 1) as conn:
                conn.sendall(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in conn.recv(4096)
        except OSError:
            return False

    def log_text(self):
        with open(self.log, "rb") as log:
            return log.read().decode("utf-8", "replace")


class Stage:
    def __init__(self, record, entries=1, zones=("bogota-norte",)):
        self.record, self.zones = record, list(zones)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.command = deploy_command()
        program = os.path.join(ROOT, self.command[0])
        if not os.access(program, os.X_OK):
            raise CannotRun("the program of the deploy file isn't built")
        hosts = loopback_hosts(entries + 1)
        self.host = hosts[-1]
        self.store = Store(record)
        self.cloud = Cloud(self.host, record)
        self.servers, self.entries, self.beats = [], [], []
        self.closed = False
        for i, host in enumerate(hosts[:-1]):
            zone = self.zones[i % len(self.zones)]
            self.entries.append(Entry(self, i, host, zone))
        threading.Thread(target=self.beat, daemon=True).start()

    def add_server(self, server):
        self.servers.append(server)
        self.store.put("keyed.servers", server.ident,
                       server.entry(self.zones[0]))

    def beat(self):
        while not self.closed:
            time.sleep(1.2)
            for server in self.servers:
                if not self.store.away and not server.closed:
                    self.store.put("keyed.servers", server.ident,
                                   server.entry(self.zones[0]))

    def configure(self, config):
        self.store.put("keyed.op", "config", config)
        self.record.add(f"operator: configuration {config['version']}")

    def start_entries(self, within_s=15):
        for entry in self.entries:
            entry.start()
        end = time.monotonic() + within_s
        for entry in self.entries:
            while not entry.is_ready():
                if time.monotonic() > end or entry.process.poll() is not None:
                    raise CannotRun(f"{entry.name} isn't ready")
                time.sleep(0.1)
        self.record.add(f"{len(self.entries)} entries are ready")

    def close(self):
        self.closed = self.store.closed = True
        for entry in self.entries:
            if entry.process and entry.process.poll() is None:
                entry.signal(signal.SIGCONT)
                entry.process.kill()
            if entry.process:
                entry.process.wait()
        for standin in self.servers + self.store.ports + [self.cloud]:
            standin.shut()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""
        self.complete = False  # as HTTP/1.1 frames it
        self.why = ""


LAST_ID = [random.randrange(1 << 40)]


def new_id():
    LAST_ID[0] += 1
    return f"{LAST_ID[0]:016x}"


def request_bytes(path, ident, body=b"", method="POST", deadline_ms=15000,
                  extra=""):
    return (f"{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\n"
            f"X-Monsoonreel-Attempt-Id: {ident}\r\n"
            f"X-Monsoonreel-Deadline-Ms: {deadline_ms}\r\n"
            f"X-Api-Key: {KEY}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def read_answer(conn, per_s=0):
    """Reads one answer; at most per_s bytes a second if that is set."""
    answer, rest = Answer(), b""

    def more(size=65536):
        if per_s:
            size = min(size, 4096)
            time.sleep(size / per_s)
        data = conn.recv(size)
        if not data:
            raise EOFError("closed")
        return data

    try:
        while b"\r\n\r\n" not in rest:
            rest += more()
        head, rest = rest.split(b"\r\n\r\n", 1)
        line, answer.headers = parse_head(head)
        answer.status = int(line.split(" ")[1])
        if answer.headers.get("transfer-encoding") == "chunked":
            while True:
                while b"\r\n" not in rest:
                    rest += more()
                size, rest = rest.split(b"\r\n", 1)
                size = int(size, 16)
                while len(rest) < size + 2:
                    rest += more()
                answer.body += rest[:size]
                rest = rest[size + 2:]
                if size == 0:
                    break
        else:
            answer.body = rest
            size = int(answer.headers.get("content-length", "0"))
            while len(answer.body) < size:
                answer.body += more()
        answer.complete = True
    except (EOFError, OSError) as error:
        answer.why = f"{type(error).__name__} {error}"
    return answer


def play(case):
    """Runs case(stage_record, trouble) and exits as the issue asks."""
    folder = os.path.dirname(os.path.abspath(case.__code__.co_filename))
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"TROUBLE={int(trouble)}")
    try:
        broken = case(record, trouble)
    except Exception as error:  # what isn't the rule's own check is no verdict
        record.add(f"could not run: {error!r}")
        print("could not run:", error, flush=True)
        os._exit(2)
    text = f"BROKEN: {broken}" if broken else "held"
    record.add(text)
    print(text, flush=True)
    os._exit(1 if broken else 0)
