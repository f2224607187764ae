"""Stand-ins for workers: they register in the store, answer, refuse and crash as PROTOCOL.md tells it."""

import asyncio
import time

import wire

BEAT_S = 1.2


class Worker:
    """One address of a service. Each start is a new incarnation with a new id."""

    def __init__(self, store, note, service, zone, ip, port=8164, slots=6, engine=False, work_s=0.05, events=8):
        self.store, self.note = store, note
        self.service, self.zone, self.ip, self.port = service, zone, ip, port
        self.slots, self.engine, self.work_s, self.events = slots, engine, work_s, events
        self.starts, self.running, self.writers, self.up = 0, 0, set(), False
        self.crashes_on = lambda request: False
        self.on_run = lambda worker, request: None
        self.id = ""

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.ip.replace('.', '')}{self.starts:02d}"
        self.born, self.seq, self.state = int(time.time() * 1000), 0, "ready"
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 24)
        self.up = True
        self.beats = asyncio.create_task(self.beat())

    async def beat(self):
        while self.up:
            self.seq += 1
            self.store.put_json("servers", self.id, {
                "service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.seq, "born": self.born})
            await asyncio.sleep(BEAT_S)

    async def crash(self, down_s):
        """Ends at once, sends nothing to the store, and is back after `down_s` under a new id."""
        if not self.up:
            return
        self.up = False
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            wire.reset(writer)
        gone = self.id
        self.note("crash", gone)
        # The platform removes the entry after three heartbeat intervals of silence.
        asyncio.get_running_loop().call_later(3 * BEAT_S, self.store.drop, "servers", gone)
        await asyncio.sleep(down_s)
        await self.start()
        self.note("back", self.id)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await wire.read_message(reader)) is not None:
                await self.answer(request, writer)
                await writer.drain()
        except (wire.Lost, OSError):
            pass
        finally:
            self.writers.discard(writer)
            wire.reset(writer)

    async def answer(self, request, writer):
        fields = request.fields
        id = fields.get("x-request-id")
        if id is None:
            if request.line[1] == "/health":
                writer.write(wire.response(200, {"X-Instance-Id": self.id}))
            else:
                writer.write(wire.response(400, {"X-Not-Executed": 1}))
            return
        if fields.get("x-target-instance", self.id) != self.id:
            writer.write(wire.response(421, {"X-Request-Id": id, "X-Instance-Id": self.id}))
            return
        if self.running >= self.slots:
            writer.write(wire.response(503, {"X-Request-Id": id, "X-Not-Executed": 1}))
            return
        self.running += 1
        try:
            await self.run(request, id, writer)
        finally:
            self.running -= 1

    async def run(self, request, id, writer):
        self.note("runs", id, "at", self.id, "of", self.service, "bytes", len(request.body))
        self.on_run(self, request)
        if self.crashes_on(request):
            await asyncio.sleep(0.01)
            self.crash_task = asyncio.create_task(self.crash(self.down_s))
            await asyncio.sleep(0.05)
            return
        head = {"X-Request-Id": id, "X-Response-Signature": f"sig.{self.id}.{id}"}
        if not self.engine:
            await asyncio.sleep(self.work_s)
            writer.write(wire.response(200, head, f"{id} {len(request.body)}".encode()))
            return
        head |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        lines = ["HTTP/1.1 200 OK"] + [f"{name}: {value}" for name, value in head.items()]
        writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n")
        for number in range(int(request.fields.get("last-event-id", 0)) + 1, self.events + 1):
            await asyncio.sleep(self.work_s / self.events)
            writer.write(wire.chunk(f"id: {number}\ndata: {id[:8]}.{number}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
