"""A machine is stopped while consumers still read whole answers from it."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))
import stage3 as st  # noqa: E402

ANSWER_BYTES = 900_000
RATE = 150_000      # bytes a second that a consumer reads: 6 s for an answer
DEADLINE_MS = 15_000
CONSUMERS = 4
STOP_AFTER_S = 1.0


async def scenario(record, trouble):
    stage = st.Stage(record)
    finished = {}

    async def work(server, run, reader, writer):
        attempt = run["attempt"]
        await server.reply(writer, 200, bytes(ANSWER_BYTES), server.fields(attempt))
        finished[attempt] = time.monotonic()
        record("server", server.name, "has handed over the whole answer", attempt)

    try:
        await stage.start_platform()
        stage.configure([st.route("lookup", "/puxa403/", "idempotent", "app", timeout=DEADLINE_MS)],
                        [st.service("app")])
        for i in range(3):
            await stage.add_server(f"i-{i}", "app", slots=6, work=work)
        await stage.start_entries()
        await asyncio.sleep(st.BOUNDS["contactMs"] / 1000 + 0.5)
        entry = stage.entries[0]

        async def consume(attempt):
            client = await st.Client(entry, rcvbuf=32768).open()
            sent = time.monotonic()
            client.send(attempt, "GET", "/puxa403/2f", deadline=DEADLINE_MS)
            answer = await client.receive(DEADLINE_MS / 1000, rate=RATE)
            client.close()
            record("client", attempt, answer, f"took={time.monotonic() - sent:.2f}s")
            return attempt, sent, time.monotonic(), answer

        tasks = [asyncio.create_task(consume(f"lookup{i}")) for i in range(CONSUMERS)]
        await asyncio.sleep(STOP_AFTER_S)
        stopped = time.monotonic()
        if trouble:
            entry.signal(signal.SIGTERM)

            async def watch():
                status = await entry.ended(st.BOUNDS["graceS"] + 1)
                record("exit", entry.name, "status", status,
                       f"after {time.monotonic() - stopped:.2f} s of graceS")
            tasks.append(asyncio.create_task(watch()))
        breaches = []
        for attempt, sent, ended, answer in (await asyncio.gather(*tasks))[:CONSUMERS]:
            whole = answer.whole and answer.status == 200 and len(answer.body) == ANSWER_BYTES
            within = ended < stopped + st.BOUNDS["graceS"] + 1 and ended < sent + DEADLINE_MS / 1000
            # Passed on, and answered in full by its server before the stop.
            if not whole and within and finished.get(attempt, stopped) < stopped:
                breaches.append(f"LOST {attempt} {answer}")
        return breaches
    finally:
        stage.stop()


sys.exit(st.main(HERE, scenario))
