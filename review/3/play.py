"""The store returns from an older copy; a version written afterwards is never applied."""
import asyncio, json, os, sys, time
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import stage as st

KEPT, REVOKED = "xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"


def version(number, routes, keys):
    return st.config_of(number, [st.route_of(f"r{i}", f"/q{i}/", "idempotent", attempts=2) for i in range(routes)],
                        [{"name": "huka270", "apiKeys": keys, "priority": 1}])


async def play(record, trouble):
    stage = st.Stage(record, 3)
    try:
        await stage.open()
        for z in st.ZONES:
            await stage.add_server("booking", z, 0.03)
        stage.configure(version(3, 1, [KEPT, REVOKED]))
        await stage.start_entries()
        stage.configure(version(4, 2, [KEPT, REVOKED]))
        await asyncio.sleep(1.0)
        stage.configure(version(7, 3, [KEPT, REVOKED]))
        await asyncio.sleep(1.5)
        if trouble:
            await stage.store.restore(0.5, 4.0)
            # The operator writes the configuration, which is whole in each version, again.
            stage.configure(json.loads(stage.config))
        await asyncio.sleep(4)
        acked = stage.configure(version(9, 3, [KEPT]))
        late = 0
        for i in range(40):
            await asyncio.sleep(0.5)
            sent = time.monotonic()
            entry = stage.entries[i % 3]
            answer = await st.ask(entry, "GET", "/q0/2f", REVOKED)
            record.add(f"{sent - acked:.2f} s after the ack: {entry.name} answers {answer.status} {answer.error} to the revoked key")
            if sent - acked > 2.0 + 0.05 and answer.status == 200:
                late += 1
        record.add(f"{late} requests with the revoked key ran later than configApplyMs after the ack")
        return late > 0
    finally:
        stage.close()

st.main(play, os.path.dirname(os.path.abspath(__file__)))
