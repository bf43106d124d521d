"""MIXED: a stream without a length that is reset on the way passes as complete.

Callers send long prompts. The server begins its stream before it has read the
whole prompt, without a length. With TROUBLE=0 it sends the whole stream, reads
the rest of the prompt and ends the channel in order; else it breaks off between
two events, and the channel is reset.
"""

import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib2"))
import stage2 as st  # noqa: E402

REQUESTS = 40
PROMPT = 110_000  # bytes, the largest of the site
EVENTS = 40
PART = 12         # events before the server breaks off
# "Links have ... small windows, so a peer that does not read blocks the writer."
WINDOW = 4096
SEGMENT = 1448    # as on Ethernet; loopback's segments have 64 KB
PARTS = "5c1e07a2:2520,91bd3f06:3780,%s:2890"


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
        head = ("HTTP/1.1 200 OK\r\nX-Monsoonreel-Attempt-Id: " + ident +
                "\r\nX-Monsoonreel-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1"
                "\r\nX-Monsoonreel-Weight-Versions: 1"
                "\r\nContent-Type: text/event-stream\r\n\r\n").encode()
        events = [f"id: {number}\ndata: {'x' * 50}\n\n".encode()
                  for number in range(1, EVENTS + 1)]
        conn.sendall(head + b"".join(events[:2]))
        time.sleep(0.03)
        if self.trouble:
            conn.sendall(b"".join(events[2:PART]))
            conn.close()  # with unread input, so the channel is reset
            self.record.add(f"server: {ident} broken off after {PART} of "
                            f"{EVENTS} events, channel reset")
            return
        conn.sendall(b"".join(events[2:]))
        left = int(headers["content-length"]) - len(rest)
        while left > 0:
            data = conn.recv(min(left, 1 << 20))
            if not data:
                return
            left -= len(data)
        conn.shutdown(socket.SHUT_WR)
        self.record.add(f"server: {ident} answered in full, {EVENTS} events")
        conn.recv(1)


def case(record, trouble):
    stage = st.Stage(record)
    try:
        server = EarlyServer(stage.host, "cocina", "i-7f3a91c2", record,
                             receive_buffer=WINDOW)
        server.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        server.trouble = trouble
        stage.add_server(server)
        route = st.route_of("pronostico", "cocina", "streaming",
                            timeout_ms=5000, attempts=1)
        route.update(sticky=True, itlTargetMs=400, latencyTargetMs=600)
        stage.configure(st.config_of(
            3, [{"name": "cocina", "healthPath": "/healthz",
                 "maxConnections": 500,
                 "runtime": {"slots": 96, "kvCapacity": 380704}}], [route]))
        stage.start_entries()
        broken, whole = 0, 0
        for _ in range(REQUESTS):
            ident = st.new_id()
            prompt = ("X-Monsoonreel-Model: m\r\n"
                      "X-Monsoonreel-Token-Usage: 9190,40\r\n"
                      f"X-Monsoonreel-Prompt-Prefix: {PARTS % ident[-8:]}\r\n")
            with socket.create_connection(
                    (stage.entries[0].host, st.FRONTEND), 5) as conn:
                conn.settimeout(20)
                conn.sendall(st.request_bytes(
                    "/pronostico/x", ident, b"q" * PROMPT, deadline_ms=5000,
                    extra=prompt))
                answer = st.read_answer(conn)
            events = answer.body.count(b"id: ")
            record.add(f"caller: {ident} status {answer.status}, {events} of "
                       f"{EVENTS} events, complete={answer.complete} "
                       f"{answer.why}")
            if answer.status == 200 and answer.complete:
                broken += events < EVENTS
                whole += events == EVENTS
        if not trouble and whole != REQUESTS:
            raise st.CannotRun(f"only {whole} of {REQUESTS} were answered")
        return (f"{broken} of {REQUESTS} callers got a part of a stream as a "
                "complete answer" if broken else "")
    finally:
        stage.close()


st.play(case)
