"""MIXED: an answer without a length that is reset on the way passes as complete.

Callers send long bodies. The server begins its answer before it has read the
body, without a length. With TROUBLE=0 it sends the whole answer, reads the rest
of the body and ends the channel in order; else it breaks off in the middle, and
the channel is reset.
"""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib2"))
import stage2 as st  # noqa: E402

REQUEST = 4_000_000
ANSWER = 160_000
PART = 80_000
REQUESTS = 12


class EarlyServer(st.Server):
    """Answers long requests early and without a length."""

    trouble = False

    def serve(self, conn):
        head, rest = st.read_until(conn, b"\r\n\r\n", b"")
        if head is None:
            return
        _, headers = st.parse_head(head)
        ident = headers["x-monsoonreel-attempt-id"]
        self.runs.append((time.monotonic(), ident))
        body = b"a" * ANSWER
        if self.trouble:
            conn.sendall(self.head(headers, None) + body[:PART])
            self.record.add(f"server: {ident} broken off after {PART} of "
                            f"{ANSWER} bytes, channel reset")
            return  # closing with unread input resets the channel
        conn.sendall(self.head(headers, None) + body)
        left = int(headers["content-length"]) - len(rest)
        while left > 0:
            left -= len(conn.recv(min(left, 1 << 20)) or b"x" * left)
        conn.shutdown(socket.SHUT_WR)
        self.record.add(f"server: {ident} answered in full, {ANSWER} bytes")
        conn.recv(1)


def case(record, trouble):
    stage = st.Stage(record)
    try:
        server = EarlyServer(stage.host, "conteo-app", "i-7f3a91c2", record,
                             receive_buffer=65536)
        server.trouble = trouble
        stage.add_server(server)
        stage.configure(st.config_of(
            3, [{"name": "conteo-app", "healthPath": "/healthz",
                 "maxConnections": 110}],
            [st.route_of("pedido", "conteo-app", "non_idempotent", attempts=1)]))
        stage.start_entries()
        broken, whole = [], 0
        for _ in range(REQUESTS):
            ident = st.new_id()
            with socket.create_connection(
                    (stage.entries[0].host, st.FRONTEND), 5) as conn:
                conn.settimeout(20)
                conn.sendall(st.request_bytes("/pedido/x", ident,
                                              b"q" * REQUEST))
                answer = st.read_answer(conn)
            record.add(f"caller: {ident} status {answer.status}, "
                       f"{len(answer.body)} bytes, complete={answer.complete} "
                       f"{answer.why}")
            if answer.status == 200 and answer.complete:
                if len(answer.body) == ANSWER:
                    whole += 1
                else:
                    broken.append(ident)
        if not trouble and whole != REQUESTS:
            raise st.CannotRun(f"only {whole} of {REQUESTS} were answered")
        return (f"{len(broken)} of {REQUESTS} callers got a part of an answer "
                "as a complete 200" if broken else "")
    finally:
        stage.close()


st.play(case)
