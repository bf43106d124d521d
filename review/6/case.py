"""MIXED: a booking that the server failed is answered as a success.

One server answers bookings on kept channels; every second one fails, with the
server's own 500. After a success the server begins to write that answer once
more and stops after a few bytes, within the status line. With TROUBLE=0 it adds
nothing.
"""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib2"))
import stage2 as st  # noqa: E402

PAIRS = 30
EXTRA = (13, 14, 15)  # "HTTP/1.1 200 ", with none, one or two bytes of "OK"
FAILURE = b'{"error":"no survey was booked"}'


class StutteringServer(st.Server):
    trouble = False
    extras = 0

    def handle(self, conn, method, target, headers, body):
        ident = headers["x-monsoonreel-attempt-id"]
        self.runs.append((time.monotonic(), ident))
        time.sleep(self.work_s)
        if len(self.runs) % 2 == 0:
            head = ("HTTP/1.1 500 Internal Server Error\r\n"
                    f"X-Monsoonreel-Attempt-Id: {ident}\r\n"
                    "X-Monsoonreel-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d2"
                    "\r\nContent-Type: application/json\r\nKeep-Alive: timeout=5"
                    f"\r\nContent-Length: {len(FAILURE)}\r\n\r\n")
            conn.sendall(head.encode() + FAILURE)
            self.record.add(f"server: {ident} failed, status 500")
            return True
        answer = self.head(headers, self.size) + b"a" * self.size
        extra = b""
        if self.trouble:
            extra = answer[:EXTRA[self.extras % len(EXTRA)]]
            self.extras += 1
        conn.sendall(answer + extra)
        self.record.add(f"server: {ident} answered 200, and {extra!r} after it")
        return True


def case(record, trouble):
    stage = st.Stage(record)
    try:
        server = StutteringServer(stage.host, "conteo-app", "i-7f3a91c2", record,
                                  work_s=0.01)
        server.trouble = trouble
        stage.add_server(server)
        stage.configure(st.config_of(
            3, [{"name": "conteo-app", "healthPath": "/healthz",
                 "maxConnections": 110}],
            [st.route_of("pedido", "conteo-app", "non_idempotent",
                         timeout_ms=800, attempts=1)]))
        stage.start_entries()
        failed, wrong, other = 0, 0, 0
        for _ in range(2 * PAIRS):
            ident = st.new_id()
            before = len(server.runs)
            with socket.create_connection(
                    (stage.entries[0].host, st.FRONTEND), 5) as conn:
                conn.settimeout(5)
                conn.sendall(st.request_bytes("/pedido/x", ident, b"q",
                                              deadline_ms=1500))
                answer = st.read_answer(conn)
            record.add(f"caller: {ident} status {answer.status}, "
                       f"{answer.body[:40]!r}, complete={answer.complete} "
                       f"{answer.why}")
            if len(server.runs) == before:
                other += 1
            elif len(server.runs) % 2 == 0:
                failed += 1
                wrong += answer.status == 200 and answer.complete
            else:
                other += answer.status != 200
        record.add(f"{failed} bookings failed at the server, {wrong} of them "
                   f"were answered 200; {other} other answers")
        if not trouble and (failed != PAIRS or other):
            raise st.CannotRun(f"{failed} failed, {other} other answers")
        return (f"{wrong} of {failed} bookings that the server had failed were "
                "answered as successes" if wrong else "")
    finally:
        stage.close()


st.play(case)
