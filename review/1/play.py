"""The store returns from an older copy and turns one machine away for some seconds
more: the one that holds the duties. A successor takes them over; its claim is the
last record before the offset at which the former holder expects the log to end.
When the store serves that machine again, it renews its lease without a conflict
and acts on, below the successor's generation."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import stage as st  # noqa: E402

KEY = "xd9dnn2ctnfzs989anu6"
AWAY_S = 0.5
COPY_AGE_S = 3.0
LONGEST_REJECTION_S = 8.0
CONTACT_S = st.BOUNDS["contactMs"] / 1000


async def traffic(stage):
    for i in range(1 << 30):
        entry = stage.entries[i % len(stage.entries)]
        if entry.process.poll() is None:
            asyncio.create_task(st.ask(entry, "GET", "/quote/2f", KEY))
        await asyncio.sleep(0.05)


async def figures_just_written(stage):
    """Waits until a window was reported, and its figures are the newest record of
    the duty log, right after a claim. Claims name their holder."""
    log = stage.store.topic("monsoonreel.duties")
    for _ in range(5):
        calls = len(stage.cloud.calls)
        until = time.monotonic() + 15
        while len(stage.cloud.calls) == calls:
            if time.monotonic() > until:
                raise st.CannotRun("usage is not reported")
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.15)
        claims = [b"edge-" in record for _, record in log.records[-2:]]
        if claims == [True, False]:
            return log.end
    raise st.CannotRun("the holder renewed its lease right after each report")


async def play(record, trouble):
    stage = st.Stage(record)
    try:
        await stage.open()
        for zone in st.ZONES:
            await stage.add_server("booking", zone, 0.03)
        stage.configure(st.config_of(
            3, [st.route_of("quote", "/quote/", "idempotent", attempts=2)],
            [{"name": "huka270", "apiKeys": [KEY], "priority": 1}]))
        await stage.start_entries()
        stage.task(traffic(stage))
        await asyncio.sleep(8)
        end = await figures_just_written(stage)
        log = stage.store.topic("monsoonreel.duties")
        first = next(entry for entry in stage.entries
                     if entry.name == stage.cloud.holder())
        record.add(f"{first.name} holds the duties; the duty log ends at {end}")
        stage.store.reject(first.name, True)
        rejected = time.monotonic()
        if trouble:
            await stage.store.restore(AWAY_S, COPY_AGE_S)
        # The store serves the machine again when a successor has claimed.
        while (log.end < end + (0 if trouble else 1)
               and time.monotonic() - rejected < LONGEST_REJECTION_S):
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.1)
        record.add(f"the duty log ends at {log.end}")
        stage.store.reject(first.name, False)
        served = time.monotonic()
        await asyncio.sleep(22)
        highest, lower = -1, []
        for at, holder, generation, path, body in stage.cloud.calls:
            if generation < highest and at > served + CONTACT_S:
                lower.append((at, holder, generation, body["windowNumber"]))
            highest = max(highest, generation)
        for at, holder, generation, window in lower:
            record.add(f"ONE: {at - served:.1f} s after the store served it again, "
                       f"{holder} reported window {window} with generation "
                       f"{generation}, below {highest}")
        return bool(lower)
    finally:
        stage.close()


st.main(play, FOLDER)
