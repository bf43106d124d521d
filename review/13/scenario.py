"""All processes are killed right after a usage report, and the store comes back
from a copy that is some seconds old."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib3"))
import stage3 as st  # noqa: E402

COPY_AGE_S = 3.0    # what the system wrote in the store since then is gone
DOWN_S = 1.0
WATCH_S = 20.0
REQUEST_S = 0.05


async def scenario(record, trouble):
    stage = st.Stage(record)
    store = stage.store
    store.era = 1

    def configure():
        stage.configure([st.route("lookup", "/puxa403/", "idempotent", "app")], [st.service("app")])

    def reports():
        return [c for c in stage.cloud.calls if c["path"] == "/usage"]

    def restore():
        """Only what the system wrote is lost: the rest is written again."""
        store.era += 1
        cut = time.monotonic() - COPY_AGE_S
        for name, topic in store.topics.items():
            if name.startswith("keyed."):
                continue
            before = len(topic["records"])
            topic["records"] = [r for r in topic["records"] if r[0] <= cut]
            record("store", "is restored: era", store.era, name, "loses",
                   before - len(topic["records"]), "records")
        configure()
        for server in stage.servers:
            server.beat()

    try:
        await stage.start_platform()
        configure()
        for i in range(3):
            await stage.add_server(f"i-{i}", "app", slots=6)
        await stage.start_entries()

        async def load():
            number = 0
            while True:
                number += 1
                try:
                    client = await st.Client(stage.entries[number % 3]).open()
                    client.send(f"lookup{number}", "GET", "/puxa403/2f")
                    record("client", f"lookup{number}", await client.receive(3))
                    client.close()
                except OSError:
                    pass
                await asyncio.sleep(REQUEST_S)
        stage.tasks.append(asyncio.create_task(load()))
        await asyncio.sleep(7)
        known = len(reports())
        while len(reports()) == known or not reports()[-1]["body"]["counts"]:
            await asyncio.sleep(0.01)
        record("platform", "has accepted", reports()[-1]["body"])
        await asyncio.sleep(0.1)
        if trouble:
            for entry in stage.entries:
                entry.signal(signal.SIGKILL)
            for entry in stage.entries:
                entry.process.wait()
            restore()
            await asyncio.sleep(DOWN_S)
            for entry in stage.entries:
                entry.start()
        await asyncio.sleep(WATCH_S)
        accepted, breaches = {}, []
        for call in reports():
            window, counts = call["body"]["windowNumber"], call["body"]["counts"]
            if accepted.setdefault(window, counts) != counts:
                breaches.append(f"ONE window {window}: {accepted[window]}, then {counts} "
                                f"from {call['holder']}")
        return breaches
    finally:
        stage.stop()


sys.exit(st.main(HERE, scenario))
