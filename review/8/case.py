"""ONE: two usage reports for one window with different counts.

Sixteen entries serve a steady trickle of requests. As soon as the platform has
accepted the report of a full window, the drill of the store happens (it is away
for a second and comes back from a copy some seconds old), and the machine that
sent the report is killed. With TROUBLE=0 nothing happens.
"""

import os
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib2"))
import stage2 as st  # noqa: E402

ENTRIES = int(os.environ.get("ENTRIES", "16"))
ZONES = ("bogota-norte", "bogota-sur", "medellin", "cali")
PAUSE_S = 0.25   # between two requests of a caller, one caller an entry
AWAY_S = float(os.environ.get("AWAY_S", "1"))
COPY_AGE_S = 3
KILLS = os.environ.get("KILLS", "1") == "1"
DRILLS = os.environ.get("DRILLS", "1") == "1"
LIMIT_S = 60


class Caller(threading.Thread):
    """Sends one request after the other to its entry, on kept channels."""

    def __init__(self, stage, entry):
        super().__init__(daemon=True)
        self.stage, self.entry = stage, entry
        self.answered = 0

    def run(self):
        conn = None
        while not self.stage.closed:
            try:
                if conn is None:
                    conn = socket.create_connection(
                        (self.entry.host, st.FRONTEND), 1)
                    conn.settimeout(5)
                conn.sendall(st.request_bytes("/pedido/x", st.new_id(), b"q",
                                              deadline_ms=3000))
                answer = st.read_answer(conn)
                if not answer.complete:
                    raise OSError("closed")
                self.answered += answer.status == 200
            except OSError:
                if conn:
                    conn.close()
                conn = None
            time.sleep(PAUSE_S)


def reports(stage):
    return [(at, holder, number, body["windowNumber"], body["counts"])
            for at, path, holder, number, body in list(stage.cloud.calls)
            if path == "/usage"]


def conflicts(stage):
    """Windows that were reported with different counts."""
    first, found = {}, {}
    for _, holder, _, window, counts in reports(stage):
        if window in first and first[window][1] != counts:
            found[window] = (first[window], (holder, counts))
        first.setdefault(window, (holder, counts))
    return found


def case(record, trouble):
    stage = st.Stage(record, ENTRIES, ZONES)
    try:
        for i in range(4):
            stage.add_server(st.Server(stage.host, "conteo-app", f"i-7f3a91c{i}",
                                       record, work_s=0.01))
        stage.configure(st.config_of(
            3, [{"name": "conteo-app", "healthPath": "/healthz",
                 "maxConnections": 600}],
            [st.route_of("pedido", "conteo-app", "non_idempotent", attempts=1,
                         timeout_ms=3000)]))
        stage.start_entries(30)
        callers = [Caller(stage, entry) for entry in stage.entries]
        for caller in callers:
            caller.start()
        begin = time.monotonic()
        first_full = int(time.time() // st.USAGE_WINDOW_S) + 2
        held = None
        while held is None:
            time.sleep(0.01)
            held = next((r for r in reports(stage) if r[3] >= first_full), None)
            if time.monotonic() - begin > LIMIT_S / 2:
                raise st.CannotRun("no usage was reported")
        record.add(f"window {held[3]} was reported by {held[1]}")
        if trouble:
            if DRILLS:
                stage.store.leave()
                record.add("store: away")
            if KILLS:
                entry = next(e for e in stage.entries if e.name == held[1])
                entry.process.kill()
                record.add(f"{entry.name}: killed")
            if DRILLS:
                time.sleep(AWAY_S)
                stage.store.restore(AWAY_S + COPY_AGE_S)
        end = time.monotonic() + 20
        while time.monotonic() < end and not conflicts(stage):
            time.sleep(0.1)
        record.add("answered: " + " ".join(str(c.answered) for c in callers))
        found = conflicts(stage)
        if trouble and len({r[1] for r in reports(stage)}) < 2:
            record.add("only one holder reported")
        for window, (one, other) in found.items():
            return (f"window {window}: {one[0]} reported {one[1]}, "
                    f"{other[0]} {other[1]}")
        return ""
    finally:
        stage.close()


st.play(case)
