"""The store turns the holder of the duties away. Its successor is stopped, and the
store forgets its history."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))
import stage3 as st  # noqa: E402

TURNED_AWAY_S = 9.0   # the longest on the site's days
WATCH_S = 25.0
REQUEST_S = 0.1


async def scenario(record, trouble):
    stage = st.Stage(record, entries=2)
    store = stage.store

    def reports(holder=None):
        return [c for c in stage.cloud.calls
                if c["path"] == "/usage" and holder in (None, c["holder"])]

    try:
        await stage.start_platform()
        # Each entry has an address of its own for the same store.
        for entry in stage.entries:
            listener = await asyncio.start_server(store.on_connection, stage.host, 0, limit=1 << 22)
            entry.store_address = "%s:%d" % listener.sockets[0].getsockname()[:2]
        stage.configure([st.route("lookup", "/puxa403/", "idempotent", "app")], [st.service("app")])
        for i in range(2):
            await stage.add_server(f"i-{i}", "app", slots=6)
        await stage.start_entries()

        async def load():
            number = 0
            while True:
                number += 1
                try:
                    client = await st.Client(stage.entries[number % 2]).open()
                    client.send(f"lookup{number}", "GET", "/puxa403/2f")
                    record("client", f"lookup{number}", await client.receive(3))
                    client.close()
                except OSError:
                    pass
                await asyncio.sleep(REQUEST_S)
        stage.tasks.append(asyncio.create_task(load()))
        while not reports():
            await asyncio.sleep(0.05)
        await asyncio.sleep(7)
        former = next(e for e in stage.entries if e.name == reports()[-1]["holder"])
        successor = next(e for e in stage.entries if e is not former)
        if trouble:
            record("store", "turns away", former.name, "the holder")
            store.turned_away.add(former.store_address)
            until = time.monotonic() + TURNED_AWAY_S
            while not reports(successor.name) and time.monotonic() < until - 1:
                await asyncio.sleep(0.02)
            record("platform", "has had", len(reports(successor.name)), "reports of", successor.name)
        successor.signal(signal.SIGTERM)  # planned, and for good
        if trouble:
            await asyncio.sleep(max(0.0, until - 0.3 - time.monotonic()))
            record("store", "forgets its history")
            store.forget_history()
            await asyncio.sleep(max(0.0, until - time.monotonic()))
            record("store", "serves", former.name, "again")
            store.turned_away.clear()
        calm = time.monotonic() + st.BOUNDS["contactMs"] / 1000
        await asyncio.sleep(WATCH_S)
        record("exit", successor.name, successor.process.poll())
        breaches, highest = [], -1
        for call in stage.cloud.calls:
            if call["fence"] < highest and call["at"] > calm:
                breaches.append(f"ONE {call['path']} from {call['holder']} with {call['fence']}, "
                                f"below {highest}: {call['body']}")
            highest = max(highest, call["fence"])
        return breaches
    finally:
        stage.stop()


sys.exit(st.main(HERE, scenario))
