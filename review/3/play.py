"""The store returns from an older copy and gives out offsets again. A version
that the operator writes afterwards, which takes a key away, gets an offset that
the entries know already."""

import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
import stage as st  # noqa: E402

KEPT, REVOKED = "xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"
AWAY_S = 0.5
COPY_AGE_S = 4.0
CONTACT_S = st.BOUNDS["contactMs"] / 1000
APPLY_S = st.BOUNDS["configApplyMs"] / 1000


def version(number, routes, keys):
    return st.config_of(
        number,
        [st.route_of(f"quote-{i}", f"/quote-{i}/", "idempotent", attempts=2)
         for i in range(routes)],
        [{"name": "huka270", "apiKeys": keys, "priority": 1}])


async def play(record, trouble):
    stage = st.Stage(record)
    try:
        await stage.open()
        for zone in st.ZONES:
            await stage.add_server("booking", zone, 0.03)
        stage.configure(version(3, 1, [KEPT, REVOKED]))
        await stage.start_entries()
        # Two versions in quick succession add a route each.
        stage.configure(version(4, 2, [KEPT, REVOKED]))
        await asyncio.sleep(1.0)
        stage.configure(version(7, 3, [KEPT, REVOKED]))
        await asyncio.sleep(1.5)
        if trouble:
            await stage.store.restore(AWAY_S, COPY_AGE_S)
            # The operator writes its configuration, whole in one record, again.
            stage.configure(json.loads(stage.config))
        await asyncio.sleep(CONTACT_S + 1)
        acknowledged = stage.configure(version(9, 3, [KEPT]))
        late = 0
        for i in range(40):
            await asyncio.sleep(0.5)
            entry = stage.entries[i % len(stage.entries)]
            after = time.monotonic() - acknowledged
            answer = await st.ask(entry, "GET", "/quote-0/2f", REVOKED)
            record.add(f"{after:5.2f} s after the ack {entry.name} answers "
                       f"{answer.status} {answer.error} to the key taken away")
            late += after > APPLY_S and answer.status == 200
        record.add(f"CONFIG: {late} requests with the key ran later than "
                   "configApplyMs after the ack")
        return late > 0
    finally:
        stage.close()


st.main(play, FOLDER)
