"""A soak of real processes: three entries on loopback, with callers on kept
connections, while configurations change and troubles overlap.

    soak/soak.py --program build/release/bin/monsoonreel-resident --seed 1 --seconds 20

Troubles are drawn from the seed: the store returns from a backup or refuses an
entry, entries are frozen, stopped (SIGTERM) or killed and started again, and
upstreams answer twice, in pieces, or break off. Prints each breach of

    CONFIG, DENIED  a route is served or refused later than the bound allows
    MIXED           an answer that is not whole, or not the caller's own
    LOST            a request that ran without an answer, around a SIGTERM
    ONE             a duty call below an earlier one's token, or a usage window
                    with two counts

and exits with 1 if there is any, with 2 if the soak could not run. The
stand-ins are those of review/lib/stage.py.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import stage as st  # noqa: E402

KEY = "xd9dnn2ctnfzs989anu6"
APPLY_S = st.BOUNDS["configApplyMs"] / 1000
CONTACT_S = st.BOUNDS["contactMs"] / 1000
GRACE_S = st.BOUNDS["graceS"]
CALLERS = 9
END_S = 6  # a call ends within 5 s


class SoakStage(st.Stage):
    """A deployment whose entries run the given program."""

    def __init__(self, record, program):
        self.record, self.memory_mb = record, 260
        self.folder = tempfile.mkdtemp(prefix="soak-")
        self.command = [program, "--metrics_port=7210"]
        hosts = st.loopback_block(4)
        self.host = hosts[-1]
        self.store = st.Store(self.host, record)
        self.cloud = st.Cloud(self.host, record)
        self.servers, self.tasks, self.version = [], [], 0
        self.entries = [st.Entry(self, i, host) for i, host in enumerate(hosts[:-1])]


class StutteringServer(st.Server):
    """Repeats one answer in six in pieces, and breaks one in ten off."""

    async def work(self, method, target, headers, body, reader, writer):
        sent = []
        real = writer.write
        writer.write = sent.append
        try:
            more = await super().work(method, target, headers, body, reader, writer)
        finally:
            writer.write = real
        answer = b"".join(sent)
        if random.random() < 0.1:
            writer.write(answer[:random.randrange(len(answer))])
            await writer.drain()
            return False
        writer.write(answer)
        await writer.drain()
        if random.random() < 1 / 6:
            asyncio.create_task(self.repeat(writer, answer))
        return more

    @staticmethod
    async def repeat(writer, answer):
        cut = random.randrange(1, len(answer))
        for piece in (answer[:cut], answer[cut:]):
            await asyncio.sleep(random.uniform(0, 0.15))
            if not writer.is_closing():
                writer.write(piece)


class Soak:
    def __init__(self, stage, seconds):
        self.stage, self.seconds = stage, seconds
        self.breaches = []
        self.is_over = False
        self.requests = 0
        self.version = 3
        self.routes = {}     # name of an optional route: times of its changes
        self.troubles = []   # (begin, end, entry or None for all)
        self.stopping = set()

    def breach(self, rule, text):
        self.stage.record.add(f"{rule}: {text}")
        self.breaches.append(f"{rule}: {text}")

    # -------------------------------------------------------- configuration

    def write(self):
        routes = [st.route_of("quote", "/quote/", "idempotent", attempts=2),
                  st.route_of("book", "/book/", "non_idempotent")]
        routes += [st.route_of(name, f"/{name}/", "idempotent", attempts=2)
                   for name, changes in self.routes.items() if changes[-1][1]]
        self.version += random.randint(1, 3)
        self.stage.configure(st.config_of(
            self.version, routes,
            [{"name": "huka270", "apiKeys": [KEY], "priority": 1}]))

    async def change(self):
        while True:
            await asyncio.sleep(random.uniform(0.5, 6))
            for _ in range(random.randint(1, 3)):
                while self.stage.store.away:
                    await asyncio.sleep(0.05)
                name = f"r{random.randrange(4)}"
                added = not self.routes.get(name, [(0, False)])[-1][1]
                self.routes.setdefault(name, []).append((time.monotonic(), added))
                self.write()
                await asyncio.sleep(random.uniform(0.02, 0.5))

    def allowed(self, name, begin, end):
        """Returns the set of states (served or not) that a request from begin to
        end may meet."""
        changes = self.routes.get(name, [])
        states = {False}
        for at, added in changes:
            if at + APPLY_S < begin:
                states = {added}
            elif at <= end:
                states.add(added)
        return states

    # ------------------------------------------------------------- callers

    def is_disturbed(self, entry, begin, end):
        return any(who in (None, entry) and first <= end
                   and begin <= last + CONTACT_S
                   for first, last, who in self.troubles)

    async def call(self):
        channels = {}
        try:
            await self.call_on(channels)
        finally:
            for _, writer in channels.values():
                writer.close()

    async def call_on(self, channels):
        while not self.is_over:
            entry = self.stage.entries[random.randrange(3)]
            path = random.choice(["/quote/2f", "/book/2f",
                                  f"/r{random.randrange(4)}/2f"])
            name, begin = st.request_id(), time.monotonic()
            answer = await self.ask(channels, entry, path, name)
            self.requests += 1
            self.judge(entry, path, name, begin, time.monotonic(), answer)
            await asyncio.sleep(random.uniform(0, 0.03))

    @staticmethod
    async def ask(channels, entry, path, name):
        try:
            if entry not in channels:
                channels[entry] = await asyncio.wait_for(
                    asyncio.open_connection(*entry.frontend), 1)
            reader, writer = channels[entry]
            body = b"x" * 64 if path.startswith("/book") else b""
            method = "POST" if body else "GET"
            writer.write(st.head_of(method, path, name, KEY, len(body)) + body)
            answer = await asyncio.wait_for(st.read_answer(reader, name), 5)
            if answer.error or answer.headers.get("connection") == "close":
                channels.pop(entry)[1].close()
            return answer
        except (OSError, asyncio.TimeoutError) as error:
            if entry in channels:
                channels.pop(entry)[1].close()
            return st.Answer(name, error=f"no channel: {error!r}")

    def judge(self, entry, path, name, begin, end, answer):
        where = f"{name} {path} at {entry.name}, status {answer.status} {answer.error}"
        if answer.status == 200 and not answer.error:
            if (not answer.body.startswith(name.encode() + b" by ")
                    or answer.headers.get("x-monsoonreel-attempt-id") != name):
                self.breach("MIXED", f"{where} {answer.body!r}")
        if self.is_disturbed(entry, begin, end):
            return
        route = path.split("/")[1]
        if answer.status in (200, 404) and not answer.error:
            states = self.allowed(route, begin, end) if route[0] == "r" else {True}
            if (answer.status == 200) not in states:
                self.breach("CONFIG", where)
        if 300 <= answer.status < 500 and answer.status not in (404, 408, 421, 429):
            self.breach("DENIED", where)
        ran = any(name == run[1] for server in self.stage.servers
                  for run in server.runs[-2000:])
        if answer.error.startswith("closed") and ran:
            self.breach("LOST", where)

    # ------------------------------------------------------------ troubles

    async def trouble(self):
        kinds = [self.restore, self.restore, self.refuse, self.freeze, self.stop,
                 self.kill]
        while True:
            for _ in range(random.randint(1, 3)):
                self.stage.task(random.choice(kinds)())
                await asyncio.sleep(random.uniform(0, 1.5))
            # Rules hold without exception once the last trouble is a while ago.
            await asyncio.sleep(random.uniform(CONTACT_S, 3 * CONTACT_S))

    def begin(self, entry, lasts_s):
        now = time.monotonic()
        self.troubles.append((now, now + lasts_s, entry))

    async def restore(self):
        if self.stage.store.away:
            return
        away = random.uniform(0.3, 2)
        self.begin(None, away + 0.3)
        await self.stage.store.restore(away, random.uniform(1, 7))
        self.stage.configure(json.loads(self.stage.config))
        for server in self.stage.servers:
            server.report()

    async def refuse(self):
        entry, lasts = random.choice(self.stage.entries), random.uniform(1, 4)
        self.begin(entry, lasts)
        self.stage.store.reject(entry.name, True)
        await asyncio.sleep(lasts)
        self.stage.store.reject(entry.name, False)

    def is_idle(self, entry):
        return not any(who is entry and time.monotonic() < last
                       for _, last, who in self.troubles)

    async def freeze(self):
        entry, lasts = random.choice(self.stage.entries), random.uniform(0.3, 3)
        if not self.is_idle(entry):
            return
        self.begin(entry, lasts)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(lasts)
        entry.signal(signal.SIGCONT)

    async def stop(self):
        entry = random.choice(self.stage.entries)
        if entry in self.stopping or not self.is_idle(entry):
            return
        self.stopping.add(entry)
        begin = time.monotonic()
        entry.signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while entry.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if entry.process.poll() is None:
            if not self.is_disturbed(entry, begin, time.monotonic()):
                self.breach("LOST", f"{entry.name} did not end within graceS")
            entry.process.kill()
        elif entry.process.returncode not in (0, -signal.SIGKILL):
            self.breach("LOST", f"{entry.name} ended with {entry.process.returncode}")
        await self.start(entry)
        self.stopping.discard(entry)

    async def kill(self):
        entry = random.choice(self.stage.entries)
        if not self.is_idle(entry):
            return
        self.begin(entry, 1)
        entry.signal(signal.SIGKILL)
        if entry in self.stopping:
            return  # stop() starts it again
        self.stopping.add(entry)
        await asyncio.sleep(random.uniform(0, 1))
        await self.start(entry)
        self.stopping.discard(entry)

    async def start(self, entry):
        entry.process.wait()
        self.begin(entry, 4)
        entry.start()
        await entry.wait_ready(15)
        self.begin(entry, 1)

    # ---------------------------------------------------------------- play

    def judge_duties(self):
        highest = -1
        for at, holder, fence, path, _ in self.stage.cloud.calls:
            if fence < highest and not self.is_disturbed(None, at, at):
                self.breach("ONE", f"{holder} called {path} with {fence}, below {highest}")
            highest = max(highest, fence)
        for window, reports in self.stage.cloud.usage().items():
            if len({str(sorted(r[3].items())) for r in reports}) > 1:
                self.breach("ONE", f"window {window} has two counts: {reports}")

    async def play(self):
        await self.stage.open()
        for zone in st.ZONES:
            for kind in (StutteringServer, st.Server):
                await self.stage.add_server("booking", zone, 0.03, kind=kind)
        self.write()
        await self.stage.start_entries()
        for _ in range(CALLERS):
            self.stage.task(self.call())
        self.stage.task(self.change())
        self.stage.task(self.trouble())
        for _ in range(int(self.seconds * 2)):
            await asyncio.sleep(0.5)
            for task in self.stage.tasks:
                if task.done() and task.exception():
                    raise task.exception()
        self.judge_duties()
        self.is_over = True


async def run(options):
    record = st.Record(options.record or os.devnull)
    stage = SoakStage(record, os.path.abspath(options.program))
    soak = Soak(stage, options.seconds)
    try:
        await soak.play()
    finally:
        stage.close()
        # Python 3.11's wait_for can lose a cancellation.
        await asyncio.wait(stage.tasks, timeout=END_S)
    return soak


def main():
    parser = argparse.ArgumentParser(description="A soak of real processes.")
    parser.add_argument("--program", required=True, help="the resident program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--record", help="file for what was sent, run and answered")
    options = parser.parse_args()
    random.seed(options.seed)
    try:
        soak = asyncio.run(run(options))
    except (st.CannotRun, OSError) as error:
        print(f"soak: could not run: {error}")
        return 2
    for text in soak.breaches[:20]:
        print(text)
    print(f"soak: seed {options.seed}, {soak.requests} requests, "
          f"{len(soak.breaches)} breaches")
    return 1 if soak.breaches else 0


if __name__ == "__main__":
    sys.exit(main())
