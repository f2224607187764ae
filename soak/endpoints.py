"""Stand-ins for engines and plain services, which report every execution to the rule checks."""

import asyncio
import hashlib
import time

import http_wire as http
from links import Link

HEARTBEAT_INTERVAL_S = 0.4
EVENT_INTERVAL_S = 0.012
PLAIN_DURATION_S = 0.03
EVENTS_PER_STREAM = 12
SLOTS = 16


def plain_answer(id, body):
    """Returns the response body for a plain request."""
    return f"{id} {hashlib.sha256(body).hexdigest()}".encode() * 8


def event_data(id, number):
    """Returns the data of one stream event; it is the same at every endpoint."""
    return f"{id}.{number}"


class Endpoint:
    """One process of a service.

    `fault`: none, lost (sometimes resets the connection during or after the execution), slow, hang or full.
    """

    def __init__(self, rules, store, random, name, service, zone, engine, version):
        self.rules = rules
        self.store = store
        self.random = random
        self.name = name
        self.service = service
        self.zone = zone
        self.engine = engine
        self.version = version
        self.limit_per_s = None
        self.fault = "none"
        self.state = "ready"
        self.up = False
        self.running = 0
        self.writers = set()
        self.seq = 0

    async def start(self, ip, port):
        """Listens behind its own link; the platform lists the address of the link."""
        self.listen_address = (ip, port)
        self.link = Link(self.listen_address)
        await self.link.start(ip, port + 1)
        await self.restart()
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    async def restart(self):
        self.started_unix_ms = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, *self.listen_address)
        self.up = True

    async def crash(self):
        self.up = False
        self.server.close()
        await self.server.wait_closed()
        for writer in list(self.writers):
            http.abort(writer)

    async def send_heartbeats(self):
        while True:
            if self.up and self.store.mode not in ("down", "silent"):
                self.seq += 1
                self.store.put_json("servers", self.name, {
                    "id": self.name, "service": self.service, "address": self.link.address, "zone": self.zone,
                    "version": self.version, "slots": SLOTS, "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                    "born": self.started_unix_ms})
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await http.read_message(reader)) is not None:
                await self.answer(request, writer)
                await writer.drain()
        except (http.ConnectionLost, OSError):
            pass  # The gateway closed the connection, which ends the execution.
        finally:
            self.writers.discard(writer)
            http.abort(writer)

    async def answer(self, request, writer):
        id = request.fields.get("x-request-id")
        if id is None:
            writer.write(http.response_bytes(200, {"X-Instance-Id": self.name}))
            return
        if request.fields.get("x-target-instance", self.name) != self.name:
            writer.write(http.response_bytes(421, {"X-Request-Id": id, "X-Not-Executed": 1}))
            return
        self.rules.record_arrival(id, self.name, self.limit_per_s)
        if self.running >= SLOTS or self.fault == "full":
            writer.write(http.response_bytes(503, {"X-Request-Id": id, "X-Not-Executed": 1} | self.limit_field()))
            return
        self.running += 1
        try:
            await self.run(request, id, writer)
        finally:
            self.running -= 1

    def limit_field(self):
        return {} if self.limit_per_s is None else {"Server-Limit": self.limit_per_s}

    async def run(self, request, id, writer):
        last = int(request.fields.get("last-event-id", 0))
        self.rules.record_execution(id, self.name, self.service, request.line[1], request.body, last,
                                    self.version)
        slowdown = 8 if self.fault == "slow" else 1
        if self.fault == "hang":
            await asyncio.sleep(10)
        lost = self.fault == "lost" and self.random.random() < 0.3
        head = {"X-Request-Id": id, "X-Response-Signature": f"{self.name}.{id}"} | self.limit_field()
        if not self.engine:
            await asyncio.sleep(PLAIN_DURATION_S * slowdown)
            if lost:
                http.abort(writer)
            else:
                writer.write(http.response_bytes(200, head, plain_answer(id, request.body)))
            return
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines + [f"{name}: {value}" for name, value in head.items()]).encode() + b"\r\n\r\n")
        reset_at_event = self.random.randint(1, EVENTS_PER_STREAM) if lost else 0
        for number in range(last + 1, EVENTS_PER_STREAM + 1):
            await asyncio.sleep(EVENT_INTERVAL_S * slowdown)
            if number == reset_at_event:
                writer.write(b"1f\r\nid: ")
                await writer.drain()
                http.abort(writer)
                return
            writer.write(http.chunk(f"id: {number}\ndata: {event_data(id, number)}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
