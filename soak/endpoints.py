"""Stand-ins for engines and plain services, which report every execution to the rule checks."""

import asyncio
import hashlib
import time

import http_wire as http
from answers import PLAIN_LIES, RESUMED_LIES, STREAM_LIES, event_data, plain_bytes, stream_answer
from links import LinkGroup

HEARTBEAT_INTERVAL_S = 0.4
EVENT_INTERVAL_S = 0.012
HELD_EVENT_INTERVAL_S = 0.4
PLAIN_DURATION_S = 0.03
SLOTS = 16
# Time until a process that was killed by a faulty response of its own runs again.
KILLED_S = 0.3


def plain_answer(id, body):
    """Returns the response body for a plain request."""
    return f'{{"id":"{id}","digest":"{hashlib.sha256(body).hexdigest() * 8}"}}'.encode()


class Endpoint:
    """One process of a service.

    `fault`: none, lost (sometimes resets the connection during or after the execution), slow, hang, full, break (cuts
    streams that may be resumed) or lies (sends every faulty response of answers.py now and then). An endpoint that is
    `unframed` sends whole responses without a length and without chunks.
    """

    def __init__(self, rules, store, lies, random, name, service, zone, engine, version, nodes):
        self.rules = rules
        self.lies = lies
        self.store = store
        self.random = random
        self.name = name
        self.service = service
        self.zone = zone
        self.engine = engine
        self.version = version
        self.run_name = f"{service}/{version}"
        self.limit_per_s = None
        self.unframed = False
        self.fault = "none"
        self.state = "ready"
        self.up = False
        self.running = 0
        self.writers = set()
        self.seq = 0
        self.nodes = nodes
        # The process says in its responses that it is leaving; its entry is missing meanwhile if it is not listed.
        self.leaving = False
        self.listed = True

    async def start(self, ip, port):
        """Listens behind a link for each node; the platform tells each node the address of its link."""
        self.listen_address = (ip, port)
        self.link = LinkGroup(self.listen_address, self.nodes)
        await self.link.start(ip, port + 1)
        await self.restart()
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    async def restart(self):
        if self.up:
            return
        self.started_unix_ms = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, *self.listen_address)
        await self.link.accept_again()
        self.up = True

    async def crash(self, in_order=False):
        """Ends the process; the system closes in order the connections from which it had read everything."""
        self.up = False
        self.link.refuse()
        self.server.close()
        for writer in list(self.writers):
            if in_order:
                writer.close()
            else:
                http.abort(writer)

    async def kill_for(self, seconds):
        if not self.up:
            return
        await self.crash(in_order=True)
        await asyncio.sleep(seconds)
        await self.restart()

    async def send_heartbeats(self):
        while True:
            if self.up and self.listed and self.store.mode not in ("down", "silent"):
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
        self.rules.check_forwarded(id, request)
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
        fields = {} if self.limit_per_s is None else {"Server-Limit": self.limit_per_s}
        return fields | ({"Server-Leaving": 1} if self.leaving else {})

    async def leave(self, seconds):
        """Says in responses that it is leaving while its entry stays, vanishes and returns, then ends; a new process
        starts."""
        self.leaving = True
        await asyncio.sleep(seconds / 6)
        self.listed = False
        self.store.drop("servers", self.name)
        await asyncio.sleep(seconds / 2)
        self.listed = True
        await asyncio.sleep(seconds / 3)
        await self.crash(in_order=True)
        await asyncio.sleep(KILLED_S)
        self.leaving = False
        self.rules.forget_leaving(self.name)
        await self.restart()

    def choose_lie(self, lies, often=False):
        if self.fault == "lies" and self.random.random() < (0.9 if often else 0.5):
            return self.lies.take(lies)
        if self.fault == "lost" and self.random.random() < 0.3:
            return "cut"
        return "unframed" if self.unframed else ""

    async def run(self, request, id, writer):
        last = int(request.fields.get("last-event-id", 0))
        account = "several names" if "x-tenant" in request.repeated else request.fields.get("x-tenant")
        self.rules.check_account(id, account)
        self.rules.record_execution(id, self.name, self.service, request.line[1], request.body, last, self.run_name)
        if self.fault == "hang":
            await asyncio.sleep(10)
        head = {"X-Request-Id": id, "X-Response-Signature": f"{self.name}.{id}"} | self.limit_field()
        if self.engine:
            ending = await self.send_stream(request, id, last, head, writer)
        else:
            await asyncio.sleep(PLAIN_DURATION_S * self.slowdown())
            lie = self.choose_lie(PLAIN_LIES)
            if self.fault == "lost" and lie == "cut":
                raise http.ConnectionLost("answer lost")
            if request.line[1].startswith("/read/"):
                head["Content-Type"] = "application/json"
            data, ending = plain_bytes(head, plain_answer(id, request.body), lie)
            writer.write(data)
        if ending != "end":
            await self.disconnect(writer, ending)

    def slowdown(self):
        return 8 if self.fault == "slow" else 1

    async def send_stream(self, request, id, last, head, writer):
        """Sends the events of one run; returns how the connection ends."""
        resumable = request.line[1].startswith("/brief/")
        lie = self.choose_lie(RESUMED_LIES if last else STREAM_LIES, resumable)
        if self.fault == "break" and resumable:
            lie = "cut"
        held = self.rules.held(id)
        answer = stream_answer(self.random, last, "" if held else lie)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"] + ["Transfer-Encoding: chunked"] * answer.chunked
        text = "\r\n".join(lines + [f"{name}: {value}" for name, value in head.items()]).encode() + b"\r\n\r\n"
        writer.write(text[:-10] if answer.head_only else text)
        run_name = f"{self.run_name}/again" if answer.repeats(last) else self.run_name
        for number in answer.numbers:
            if await self.wait_for_next_event(held):
                return "reset"
            event = f"id: {number}\ndata: {event_data(id, run_name, number)}\n\n".encode()
            writer.write(http.chunk(event) if answer.chunked else event)
            await writer.drain()
        if answer.whole(last):
            self.rules.record_whole_run(id)
        if answer.torn:
            writer.write(f"id: {last + len(answer.numbers) + 1}\nda".encode())
        elif answer.ending == "end":
            writer.write(http.LAST_CHUNK)
        elif answer.ending == "reset":
            writer.write(b"1f\r\nid: ")
        return answer.ending

    async def wait_for_next_event(self, held):
        """Waits until the next event is due; returns whether a held stream breaks off now."""
        if held is None or held.is_set():
            await asyncio.sleep(EVENT_INTERVAL_S * self.slowdown())
            return False
        try:
            await asyncio.wait_for(held.wait(), HELD_EVENT_INTERVAL_S)
        except asyncio.TimeoutError:
            return False
        return True

    async def disconnect(self, writer, ending):
        """Closes the connection in order or resets it; the gateway sees either after everything sent before."""
        await writer.drain()
        if ending == "close":
            writer.close()
            await writer.wait_closed()
        elif ending == "killed":
            self.kill_task = asyncio.create_task(self.kill_for(KILLED_S))
            await writer.wait_closed()
        raise http.ConnectionLost(ending)
