"""Stand-in for the platform's row store, with fault injection."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import http_wire as http

LATE_COMMIT_DELAY_S = (0.5, 2.0)
ANSWER_DELAY_S = 0.004


class Store:
    """Rows in memory. `mode` selects the fault for calls of the nodes: ok, down, silent, slow, lost or late."""

    def __init__(self, random):
        self.random = random
        self.rows = {}
        self.history = []
        self.version = 0
        self.oldest_version = 0
        self.mode = "ok"
        self.changed = asyncio.Event()
        self.calls = 0
        # Replaces addresses of endpoints in the rows that a node reads: the function gets the IP of the node's link.
        self.endpoint_address = lambda link_ip, name: None

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    # Rows; the operator and the endpoints of the soak also use these functions directly.

    def apply(self, conditions, puts, removes):
        """Returns the version of the transaction, or None when a condition failed."""
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

    def put_json(self, table, name, value):
        self.apply([], [((table, "", name), base64.b64encode(json.dumps(value).encode()).decode())], [])

    def drop(self, table, name):
        self.apply([], [], [(table, "", name)])

    def drop_history(self):
        self.history = []
        self.oldest_version = self.version

    # HTTP interface.

    async def serve(self, reader, writer):
        try:
            while (request := await http.read_message(reader)) is not None:
                self.calls += 1
                answer = await self.answer(request, writer.get_extra_info("peername")[0])
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
        except (http.ConnectionLost, OSError):
            pass  # The node closed the connection; its call may stay unanswered.
        finally:
            http.abort(writer)

    async def answer(self, request, link_ip):
        """Returns the bytes of the answer; None to leave the call unanswered."""
        parts = urlsplit(request.line[1])
        if self.mode == "down":
            return http.response_bytes(503)
        if self.mode == "silent":
            await asyncio.sleep(30)
            return None
        await asyncio.sleep(ANSWER_DELAY_S * (40 if self.mode == "slow" else 1))
        if parts.path == "/v1/rows-tx":
            return await self.transact(json.loads(request.body))
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/v1/rows-get":
            return self.get(query, link_ip)
        return await self.feed(query, link_ip)

    async def transact(self, body):
        def key(entry):
            return (entry["table"], entry["part"], entry["key"])

        conditions = [(key(entry), entry["ver"]) for entry in body["expectedRev"]]
        puts = [(key(entry), entry["value"]) for entry in body["put"]]
        removes = [key(entry) for entry in body["remove"]]
        touched = {part for _, part, _ in [each for each, _ in conditions + puts] + removes}
        if len(touched) > 1 and not body.get("across"):
            return self.reply(400, [])
        lost = self.mode in ("lost", "late") and self.random.random() < 0.4
        if lost and self.mode == "late":
            asyncio.get_running_loop().call_later(
                self.random.uniform(*LATE_COMMIT_DELAY_S), self.apply, conditions, puts, removes)
            return None
        version = self.apply(conditions, puts, removes)
        if lost:
            return None
        if version is not None:
            return self.reply(200, [])
        return self.reply(412, [self.row(each, *self.rows[each]) for each, _ in conditions if each in self.rows])

    def get(self, query, link_ip):
        place = (query["table"], query.get("part", ""))
        start, end = query.get("from", ""), query.get("to", "")
        found = sorted(key for key in self.rows
                       if key[:2] == place and key[2] >= start and (not end or key[2] < end))
        limit = int(query.get("limit", 500))
        return self.reply(200, [self.row_for(link_ip, key, *self.rows[key]) for key in found[:limit]], len(found) > limit)

    async def feed(self, query, link_ip):
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if after < self.oldest_version:
                return http.response_bytes(410)
            rows = [self.row_for(link_ip, key, version, value) for version, key, value in self.history
                    if version > after and key[0] == query["table"]]
            remaining_s = end - time.monotonic()
            if rows or remaining_s <= 0 or self.mode in ("down", "silent"):
                return self.reply(200, rows)
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass

    def row_for(self, link_ip, key, version, value):
        """The row as the node behind the link sees it: it reaches each endpoint by a link of its own."""
        address = self.endpoint_address(link_ip, key[2]) if key[0] == "servers" and value is not None else None
        if address:
            entry = json.loads(base64.b64decode(value)) | {"address": address}
            value = base64.b64encode(json.dumps(entry).encode()).decode()
        return self.row(key, version, value)

    @staticmethod
    def row(key, version, value):
        row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
        return row | ({"tombstone": True} if value is None else {"value": value})

    def reply(self, status, rows, more=False):
        body = {"rows": rows, "hasMore": more, "ver": self.version, "nowMs": int(time.monotonic() * 1000)}
        return http.response_bytes(status, {"Content-Type": "application/json"}, json.dumps(body).encode())
