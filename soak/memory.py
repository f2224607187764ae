"""Memory of one gateway under uploads, endless responses and clients that read slowly, all at the same time.

The process must stay below its memory limit, and every upload must be answered: served, or refused as not run.
"""

import asyncio
import collections
import signal
import sys
import tempfile

import http_wire as http
from nodes import Node
from store import Store

LANE = 39
MEMORY_MB = 120
BODY_BYTES = 4_100_000
UPLOADS = 40
SLOW_READERS = 60
ENDLESS = 6
ROUNDS = 4
RESPONSE_BYTES = 1_000_000
BLOCK = b"x" * 65536
DEADLINE_S = 6


def ip(last):
    return f"127.{LANE}.0.{last}"


class Worker:
    """Answers uploads after a while, sends large responses on /large/ and responses without end on /endless/."""

    async def start(self, store):
        self.server = await asyncio.start_server(self.serve, ip(3), 7301, limit=1 << 24)
        self.heartbeats = asyncio.create_task(self.send_heartbeats(store))

    async def send_heartbeats(self, store):
        seq = 0
        while True:
            seq += 1
            store.put_json("servers", "w", {
                "id": "w", "service": "s", "address": f"{ip(3)}:7301", "zone": "east-1", "version": "1", "slots": 500,
                "state": "ready", "coldLeftMs": 0, "seq": seq, "born": 1})
            await asyncio.sleep(0.4)

    async def serve(self, reader, writer):
        try:
            while (request := await http.read_message(reader)) is not None:
                fields = {"X-Request-Id": request.fields.get("x-request-id", ""), "X-Response-Signature": "s.1"}
                if request.line[1].startswith("/endless/"):
                    writer.write(http.response_bytes(200, fields)[:-2].replace(b"Content-Length: 0\r\n", b"") + b"\r\n")
                    while True:
                        writer.write(BLOCK)
                        await writer.drain()
                if request.line[1].startswith("/lodge/"):
                    await asyncio.sleep(0.5)
                size = RESPONSE_BYTES if request.line[1].startswith("/large/") else 10
                writer.write(http.response_bytes(200, fields, b"x" * size))
                await writer.drain()
        except (http.ConnectionLost, OSError):
            pass
        finally:
            http.abort(writer)


async def attempt(id, target, body=b"", pause_s=0.0):
    """Returns the status of the answer, or what happened instead."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(ip(2), 7101, limit=1 << 16)
        fields = {"Host": "soak.example", "X-Request-Id": id, "X-Deadline-Ms": DEADLINE_S * 1000}
        writer.write(http.request_bytes("POST", target, fields, body))

        async def answer():
            head = await http.read_head(reader)
            await asyncio.sleep(pause_s)
            return "closed" if head is None else head.status

        return await asyncio.wait_for(answer(), DEADLINE_S + pause_s + 1)
    except (http.ConnectionLost, OSError):
        return "closed"
    except asyncio.TimeoutError:
        return "no answer"
    finally:
        if writer is not None:
            http.abort(writer)


def peak_mb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM")) / 1024


def configure(store):
    common = {"host": "soak.example", "timeoutMs": DEADLINE_S * 1000, "targetLatencyMs": 300, "priority": 1,
              "kind": "non_idempotent", "maxAttempts": 1, "service": "s"}
    routes = [common | {"name": name, "pathPrefix": f"/{name}/"} for name in ("lodge", "large", "endless")]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    services = [{"name": "s", "healthPath": "/health", "maxConns": 500}]
    store.put_json("op", "config", {"version": 1, "routes": routes, "services": services, "limits": limits})


async def run(program, directory):
    store = Store(None)
    await store.start(ip(1), 7000)
    configure(store)
    worker = Worker()
    await worker.start(store)
    node = Node([program], directory, "n", "east-1", ip(2), ip(4), (ip(1), 7000))
    await node.start()
    uploads, others = collections.Counter(), collections.Counter()
    try:
        while await attempt("probe", "/lodge/x") != 200:
            await asyncio.sleep(0.2)
        idle_mb = peak_mb(node.process.pid)
        body = b"x" * BODY_BYTES
        for number in range(ROUNDS):
            names = [f"{number}.{index}" for index in range(UPLOADS)]
            background = [attempt("l" + name, "/large/x", pause_s=2.0) for name in names[:SLOW_READERS]]
            background += [attempt("e" + name, "/endless/x") for name in names[:ENDLESS]]
            background = asyncio.gather(*background)
            uploads.update(await asyncio.gather(*(attempt("u" + name, "/lodge/x", body) for name in names)))
            others.update(await background)
        ended = node.process.returncode
        peak = peak_mb(node.process.pid) if ended is None else float("nan")
    finally:
        node.send(signal.SIGKILL)
        worker.heartbeats.cancel()
    print(f"idle {idle_mb:.0f} MB, peak {peak:.0f} MB of {MEMORY_MB} MB; uploads {dict(uploads)}; others {dict(others)}")
    broken = []
    if ended is not None:
        broken.append(f"the process ended by itself with {ended}")
    if not peak <= MEMORY_MB:
        broken.append(f"memory {peak:.0f} MB, more than {MEMORY_MB} MB")
    if set(uploads) - {200, 503} or not uploads[200]:
        broken.append(f"uploads {dict(uploads)}")
    for each in broken:
        print("broken MEMORY:", each)
    return 1 if broken else 0


def main():
    program = sys.argv[1] if len(sys.argv) > 1 else "build/lagoontiller"
    with tempfile.TemporaryDirectory() as directory:
        sys.exit(asyncio.run(asyncio.wait_for(run(program, directory), 90)))


if __name__ == "__main__":
    main()
