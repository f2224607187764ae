"""Stand-in for the platform's store: rows, feeds, conditions, as PROTOCOL.md tells them."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import wire

ANSWER_S = 0.004
HISTORY_S = 20.0
MAX_ROWS = 500


class Store:
    """Sound by itself. `fault(address, call)` may name a trouble for one call: busy, silent, reset, or lost."""

    def __init__(self):
        self.rows = {}
        self.servers = []
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.fault = lambda peer, call: None
        self.calls = {}
        self.on_transaction = lambda puts, removes, version: None
        self.on_condition = lambda peer: None

    async def listen(self, ip, port):
        """Serves one machine at an address of its own, so that the store knows who calls; returns the address."""
        self.servers.append(await asyncio.start_server(self.serve, ip, port, limit=1 << 22))
        return f"{ip}:{port}"

    def apply(self, conditions, puts, removes):
        """Applies all or nothing; returns the new version, or None if a condition fails."""
        if any(self.rows.get(key, (0, ""))[0] != version for key, version in conditions):
            return None
        self.version += 1
        now = time.monotonic()
        for key, value in puts:
            self.rows[key] = (self.version, value)
            self.history.append((now, self.version, key, value))
        for key in removes:
            if self.rows.pop(key, None) is not None:
                self.history.append((now, self.version, key, None))
        self.on_transaction(puts, removes, self.version)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    # What the operator and the workers write.

    def put_json(self, table, name, value):
        self.apply([], [((table, "", name), base64.b64encode(json.dumps(value).encode()).decode())], [])

    def drop(self, table, name):
        self.apply([], [], [(table, "", name)])

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("sockname")[0]
        try:
            while (request := await wire.read_message(reader)) is not None:
                parts = urlsplit(request.line[1])
                call = parts.path.rsplit("/", 1)[-1]
                self.calls[call] = self.calls.get(call, 0) + 1
                trouble = self.fault(peer, call)
                if trouble == "busy":
                    writer.write(wire.response(503))
                    continue
                if trouble == "silent":
                    await asyncio.sleep(60)
                    break
                if trouble == "reset":
                    break
                await asyncio.sleep(ANSWER_S)
                answer = await self.answer(call, parts, request, peer)
                if trouble == "lost":
                    break
                writer.write(answer)
                await writer.drain()
        except (wire.Lost, OSError):
            pass
        finally:
            wire.reset(writer)

    async def answer(self, call, parts, request, peer):
        if call == "rows-tx":
            return self.transact(json.loads(request.body), peer)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if call == "rows-get":
            return self.get(query)
        if call == "rows-feed":
            return await self.feed(query)
        return wire.response(404)

    def transact(self, body, peer):
        def key(entry):
            return (entry["table"], entry["part"], entry["key"])

        keys = [key(entry) for name in ("expectedRev", "put", "remove") for entry in body.get(name, [])]
        if any(len(text.encode()) > 200 for each in keys for text in each) or len(keys) > 100:
            return wire.response(400)
        if any(each[0] in ("op", "servers") for each in keys):
            return wire.response(403)
        conditions = [(key(entry), entry["ver"]) for entry in body.get("expectedRev", [])]
        version = self.apply(conditions, [(key(entry), entry["value"]) for entry in body.get("put", [])],
                             [key(entry) for entry in body.get("remove", [])])
        if version is not None:
            if conditions:
                self.on_condition(peer)
            return self.reply(200, [])
        return self.reply(412, [self.row(each, *self.rows[each]) for each, _ in conditions if each in self.rows])

    def get(self, query):
        place = (query["table"], query.get("part", ""))
        start, end = query.get("from", ""), query.get("to", "")
        found = sorted((key for key in self.rows
                        if key[:2] == place and key[2] >= start and (not end or key[2] < end)),
                       key=lambda key: key[2].encode())
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        return self.reply(200, [self.row(key, *self.rows[key]) for key in found[:limit]], len(found) > limit)

    async def feed(self, query):
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            forgotten = time.monotonic() - HISTORY_S
            oldest = 0
            while self.history and self.history[0][0] < forgotten:
                oldest = self.history.pop(0)[1]
            self.oldest = max(getattr(self, "oldest", 0), oldest)
            if after < self.oldest:
                return wire.response(410)
            rows = [self.row(key, version, value) for _, version, key, value in self.history
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
        body = {"rows": rows, "hasMore": more, "ver": self.version, "nowMs": int(time.monotonic() * 1000)}
        return wire.response(status, {"Content-Type": "application/json"}, json.dumps(body).encode())
