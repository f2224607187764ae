"""Stand-in for the platform's metadata store (PROTOCOL.md), without disruptions. The operator and the workers write
through `put` and `drop`; workers in processes of their own through POST /stand-in/put and /stand-in/drop."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire

ANSWER_S = 0.004


def key_of(entry):
    return (entry["table"], entry["part"], entry["key"])


class Store:
    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def apply(self, conditions, puts, removes):
        """Returns the version of the transaction; None when a condition failed."""
        if any(self.rows.get(key, (0, ""))[0] != version for key, version in conditions):
            return None
        self.version += 1
        for key, value in puts:
            self.rows[key] = (self.version, value)
            self.history.append((self.version, key, value))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.history.append((self.version, key, None))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def put(self, table, key, value):
        self.apply([], [((table, "", key), base64.b64encode(json.dumps(value).encode()).decode())], [])

    def drop(self, table, key):
        self.apply([], [], [(table, "", key)])

    async def serve(self, reader, writer):
        try:
            while (request := await wire.read_message(reader)) is not None:
                writer.write(await self.answer(request))
                await writer.drain()
        except (wire.Lost, OSError, asyncio.CancelledError):
            pass  # The caller closed the connection, or the test has ended.
        finally:
            writer.close()

    async def answer(self, request):
        parts = urlsplit(request.line[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/stand-in/put":
            body = json.loads(request.body)
            self.put("servers", body["key"], body["value"])
            return self.reply(200, [])
        if parts.path == "/stand-in/drop":
            self.drop("servers", json.loads(request.body)["key"])
            return self.reply(200, [])
        await asyncio.sleep(ANSWER_S)
        if parts.path == "/v1/rows-tx":
            return self.transact(json.loads(request.body))
        if parts.path == "/v1/rows-get":
            return self.get(query)
        if parts.path == "/v1/rows-feed":
            return await self.feed(query)
        return wire.response(404)

    def transact(self, body):
        conditions = [(key_of(each), each["ver"]) for each in body.get("expectedRev", [])]
        puts = [(key_of(each), each["value"]) for each in body.get("put", [])]
        removes = [key_of(each) for each in body.get("remove", [])]
        if any(key[0] in ("op", "servers") for key in [each for each, _ in puts] + removes):
            return wire.response(403)
        if self.apply(conditions, puts, removes) is not None:
            return self.reply(200, [])
        return self.reply(412, [self.row(key, *self.rows[key]) for key, _ in conditions if key in self.rows])

    def get(self, query):
        place = (query["table"], query.get("part", ""))
        start, end = query.get("from", ""), query.get("to", "")
        found = sorted((key for key in self.rows
                        if key[:2] == place and key[2] >= start and (not end or key[2] < end)),
                       key=lambda key: key[2].encode())
        limit = min(500, int(query.get("limit", 500)))
        return self.reply(200, [self.row(key, *self.rows[key]) for key in found[:limit]], len(found) > limit)

    async def feed(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = [self.row(key, version, value) for version, key, value in self.history
                    if version > after and key[0] == query["table"]]
            left = end - time.monotonic()
            if rows or left <= 0:
                return self.reply(200, rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    @staticmethod
    def row(key, version, value):
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        return row | ({"tombstone": True} if value is None else {"value": value})

    def reply(self, status, rows, more=False):
        return wire.json_response(status, {"rows": rows, "hasMore": more, "ver": self.version,
                                           "nowMs": int(time.monotonic() * 1000)})
