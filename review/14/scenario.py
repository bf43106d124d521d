"""Requests with a part that crashes servers come five at a time, every five
seconds."""

import asyncio
import os
import socket
import struct
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))
import stage3 as st  # noqa: E402

SERVERS = 9
BURST = 5
BURSTS = 4
GAP_S = 5.0
DOWN_S = 3.0        # a crashed server is back after this time
FIRST_MS = 70       # until a server begins to write an answer
EVENTS = 20
BAD = "bad0beef"
DEADLINE_MS = 6000


class CrashingServer(st.Server):
    def __init__(self, *args, **named):
        super().__init__(*args, **named)
        self.open, self.lives = set(), 1

    async def on_connection(self, reader, writer):
        self.open.add(writer)
        try:
            await super().on_connection(reader, writer)
        finally:
            self.open.discard(writer)

    async def crash(self):
        self.listed = False
        self.listener.close()
        for writer in list(self.open):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        host, port = self.address.split(":")
        await asyncio.sleep(DOWN_S)
        self.stage.store.put("keyed.servers", self.name, None)
        self.lives += 1
        self.name = f"{self.name.split('.')[0]}.{self.lives}"
        self.born, self.sequence = int(time.time() * 1000), 0
        self.listener = await asyncio.start_server(self.on_connection, host, int(port), limit=1 << 22)
        self.listed = True
        self.beat()


async def scenario(record, trouble):
    stage = st.Stage(record)
    crashes, arrivals = [], []

    async def stream(server, run, reader, writer):
        attempt = run["attempt"]
        bad = BAD in run["fields"].get("x-monsoonreel-prompt-prefix", "")
        if bad:
            arrivals.append((time.monotonic(), attempt, server.name))
        await asyncio.sleep(FIRST_MS / 1000)
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in server.fields(attempt))
        writer.write(head.encode() + b"\r\n")
        if bad:
            if server.listed:
                crashes.append(time.monotonic())
                record("server", server.name, "crashes: number", len(crashes))
                stage.tasks.append(asyncio.create_task(server.crash()))
            return False
        for i in range(1, EVENTS + 1):
            data = b"id: %d\ndata: piece %d\n\n" % (i, i)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    try:
        await stage.start_platform()
        stage.configure([st.route("draft", "/lohu930/", "streaming", "llm", timeout=DEADLINE_MS,
                                  target=600, attempts=1, itlTargetMs=300)],
                        [st.service("llm", runtime=dict(slots=128, kvCapacity=526654))])
        for i in range(SERVERS):
            server = CrashingServer(stage, f"i-{i}", "llm", work=stream)
            await server.listen(stage.host)
            stage.servers.append(server)
            stage.tasks.append(asyncio.create_task(server.beats()))
        await stage.start_entries()
        await asyncio.sleep(6)

        async def ask(attempt, entry, parts):
            client = await st.Client(entry).open()
            client.send(attempt, "POST", "/lohu930/2f", body=b"prompt", deadline=DEADLINE_MS, fields=[
                ("X-Monsoonreel-Model", "m"), ("X-Monsoonreel-Token-Usage", "9000,50"),
                ("X-Monsoonreel-Prompt-Prefix", parts)])
            answer = await client.receive(DEADLINE_MS / 1000)
            client.close()
            record("client", attempt, answer)

        async def sound():
            number = 0
            while True:
                number += 1
                stage.tasks.append(asyncio.create_task(ask(
                    f"sound{number}", stage.entries[number % 3],
                    f"{number % 7 + 1:x}0000:6000,{number:x}abc:3000")))
                await asyncio.sleep(0.2)
        stage.tasks.append(asyncio.create_task(sound()))
        await asyncio.sleep(1)
        for burst in range(BURSTS):
            await asyncio.gather(*[ask(
                f"bad{burst}.{i}", stage.entries[i % 3],
                f"{burst:x}{i:x}1111:3000,{BAD if trouble else f'{burst}{i}77'}:3000,{burst:x}{i:x}2222:3000")
                for i in range(BURST)])
            await asyncio.sleep(GAP_S)
        breaches = []
        if len(crashes) >= 5:
            late = crashes[4] + st.BOUNDS["contactMs"] / 1000
            after = [a for at, a, _ in arrivals if at > late]
            record("crashes", len(crashes), "requests later than contactMs after the fifth", after)
            if len(after) > 3:
                breaches.append(f"BUDGET {len(after)} requests after the fifth crash: {after}")
        return breaches
    finally:
        stage.stop()


sys.exit(st.main(HERE, scenario))
