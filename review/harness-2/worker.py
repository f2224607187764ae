"""Stand-in for one worker process (PROTOCOL.md, "Workers"). Writes what it runs to its standard output, a JSON line each.

The test tells in the request's body what the work is: {"work_ms", "events", "gap_ms", "unframed", "size", "crash"}. With
--extra N the worker is faulty: after it has answered a request for another instance with 421, it sends the same answer
once more where the next answer on that connection is expected, N times at most."""

import argparse
import asyncio
import json
import os
import signal
import sys
import time

import wire

BEAT_S = 1.2


def say(**what):
    sys.stdout.write(json.dumps({"at": round(time.monotonic(), 3)} | what) + "\n")
    sys.stdout.flush()


def plain_body(id, size):
    text = f"answer to {id}: "
    return (text + "x" * (size - len(text) - 4) + " end").encode()


class Worker:
    def __init__(self, options):
        self.options = options
        self.id = options.id
        self.extras = options.extra
        self.seq = 0
        self.running = 0
        self.born = int(time.time() * 1000)

    async def beat(self):
        while True:
            self.seq += 1
            value = {"id": self.id, "service": self.options.service, "address": self.options.address,
                     "zone": self.options.zone, "version": "v1", "slots": self.options.slots, "state": "ready",
                     "coldLeftMs": 0, "seq": self.seq, "born": self.born}
            try:
                await wire.call(self.options.store, "POST", "/stand-in/put",
                                json.dumps({"key": self.id, "value": value}).encode())
            except (OSError, asyncio.TimeoutError, wire.Lost):
                pass  # The next beat writes the entry again.
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader, writer):
        late = None
        try:
            while (request := await wire.read_message(reader)) is not None:
                if late is not None:
                    say(what="extra", worker=self.id)
                    writer.write(late)
                    late = None
                if request.line[1] == "/health":
                    writer.write(wire.response(200, {"X-Instance-Id": self.id}))
                    continue
                target = request.get("x-target-instance", self.id)
                if target != self.id:
                    answer = wire.response(421, {"X-Request-Id": request.get("x-request-id"),
                                                 "X-Instance-Id": self.id, "X-Not-Executed": "1"})
                    say(what="421", worker=self.id, id=request.get("x-request-id"), asked=target)
                    if self.extras > 0:
                        self.extras -= 1
                        late = answer
                    writer.write(answer)
                elif self.running >= self.options.slots:
                    writer.write(wire.response(503, {"X-Request-Id": request.get("x-request-id"),
                                                     "X-Not-Executed": "1"}))
                else:
                    self.running += 1
                    try:
                        if not await self.run(request, writer):
                            break
                    finally:
                        self.running -= 1
                await writer.drain()
        except (wire.Lost, OSError):
            pass  # The gateway closed the connection, which ends the work.
        finally:
            writer.close()

    async def run(self, request, writer):
        """Returns whether the connection stays open."""
        id = request.get("x-request-id")
        # A turn's body is its history, in lines, and then the new input.
        work = json.loads(request.body.split(b"\n")[-1] or b"{}")
        say(what="run", worker=self.id, id=id, path=request.line[1])
        if work.get("crash"):
            await asyncio.sleep(0.05)
            os._exit(1)
        head = {"X-Request-Id": id, "X-Response-Signature": f"{self.id}.{id}"}
        if work.get("events"):
            await self.stream(work, id, head, writer)
            return True
        body = plain_body(id, work.get("size", 800))
        seconds = work.get("work_ms", 50) / 1000
        if not work.get("unframed"):
            await asyncio.sleep(seconds)
            writer.write(wire.response(200, head | {"Content-Type": "application/octet-stream"}, body))
            await writer.drain()
            say(what="ended", worker=self.id, id=id)
            return True
        # An answer without a length, which ends with its connection; its bytes leave as the work proceeds.
        lines = ["HTTP/1.1 200 OK", "Content-Type: application/octet-stream", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        await asyncio.sleep(seconds / 4)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body[:len(body) // 2])
        await writer.drain()
        say(what="half", worker=self.id, id=id)
        await asyncio.sleep(seconds * 3 / 4)
        writer.write(body[len(body) // 2:])
        await writer.drain()
        say(what="ended", worker=self.id, id=id)
        return False

    async def stream(self, work, id, head, writer):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in head.items()]
        await asyncio.sleep(0.05)
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, work["events"] + 1):
            writer.write(wire.chunk(f"id: {number}\ndata: {id} {number}\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(work["gap_ms"] / 1000)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        say(what="ended", worker=self.id, id=id)


async def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "service", "zone", "address", "store"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--listen", help="where the process listens, if its address belongs to a link")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--extra", type=int, default=0)
    worker = Worker(parser.parse_args())
    ip, _, port = (worker.options.listen or worker.options.address).rpartition(":")
    server = await asyncio.start_server(worker.serve, ip, int(port))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, lambda: os._exit(0))
    say(what="started", worker=worker.id, pid=os.getpid())
    async with server:
        await worker.beat()


if __name__ == "__main__":
    asyncio.run(main())
