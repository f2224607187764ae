"""Callers that run programs as the platform's clients do, and tell the rules what they saw."""

import asyncio
import json
import time
from dataclasses import dataclass

import http_wire as http
from endpoints import EVENTS, event_data, plain_answer
from rules import Request

HOST = "soak.example"
DEADLINE_S = {"chat": 5.0, "brief": 5.0, "read": 1.5, "lodge": 4.0}
GAP_S = 2.0
TOKENS_PER_EVENT = 2
MOST_TOKENS = EVENTS * TOKENS_PER_EVENT
MOST_ENDPOINTS = 2
LOSS_SLACK_S = 0.2
ENTRY_VALIDITY_S = 2.0
KINDS = {"chat": "streaming", "brief": "streaming", "read": "idempotent", "lodge": "non_idempotent"}


@dataclass
class Outcome:
    """How one attempt ended; status 0 stands for no complete head."""

    status: int = 0
    complete: bool = False
    retry_after: float = 0.0
    output: str = ""
    id: str = ""


class Caller:
    """One client with its entry answers and its kept connections."""

    def __init__(self, soak, random, name, zone):
        self.soak = soak
        self.rules = soak.rules
        self.random = random
        self.name = name
        self.zone = zone
        self.addresses = []
        self.known_until = 0.0
        self.kept = {}
        self.count = 0
        self.asked = 0
        self.served = 0

    # Where to connect.

    async def look_up(self):
        if time.monotonic() < self.known_until and self.addresses:
            return
        for node in self.random.sample(self.soak.nodes, 2):
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, 7103), 1)
                target = f"/v1/lookup?name={HOST}&zone={self.zone}&region=east"
                writer.write(http.request_bytes("GET", target, {"Host": HOST}))
                answer = await asyncio.wait_for(http.read_message(reader), 1)
                http.abort(writer)
                if answer is not None and answer.status == 200:
                    self.addresses = json.loads(answer.body)["addresses"]
                    self.known_until = time.monotonic() + ENTRY_VALIDITY_S
                    return
            except (OSError, asyncio.TimeoutError, http.Closed):
                continue  # The next node is asked.

    async def connection(self, fresh):
        """Returns (node, reader, writer) on a kept connection or a new one."""
        await self.look_up()
        nodes = [node for node in self.soak.nodes if f"{node.ip}:7101" in self.addresses]
        if not nodes:
            raise OSError("no address")
        node = self.random.choice(nodes)
        if not fresh and (kept := self.kept.pop(node.name, None)) and kept[0] == node.incarnation:
            return node, kept[1], kept[2]
        ip, port = node.from_callers.address.split(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
        return node, reader, writer

    # One attempt.

    async def attempt(self, route, body, expected_body, fields, left, fresh):
        self.count += 1
        id = f"{self.name}-{self.count}"
        try:
            node, reader, writer = await self.connection(fresh)
        except (OSError, asyncio.TimeoutError):
            return Outcome(id=id)
        method = "GET" if route == "read" else "POST"
        target = f"/{route}/work"
        request = Request(id, KINDS[route], route, target, expected_body, node.name, node.incarnation, time.monotonic(),
                          route == "brief", MOST_ENDPOINTS)
        self.rules.sent(request)
        head = {"Host": HOST, "X-Request-Id": id, "X-Deadline-Ms": int(left * 1000)} | fields
        outcome = Outcome(id=id)
        try:
            writer.write(http.request_bytes(method, target, head, body))
            await asyncio.wait_for(self.receive(request, reader, outcome), left)
        except (OSError, http.Closed, asyncio.TimeoutError) as error:
            http.abort(writer)
            self.ended_early(request, outcome, isinstance(error, asyncio.TimeoutError))
            return outcome
        finally:
            self.account(request, fields)
        if outcome.complete:
            self.kept[node.name] = (request.incarnation, reader, writer)
        else:
            http.abort(writer)
            self.ended_early(request, outcome, False)
        return outcome

    def ended_early(self, request, outcome, timed_out):
        """A planned stop, reload or configuration must not cut off a request that was read."""
        later = time.monotonic() - request.sent_at > LOSS_SLACK_S
        if self.soak.planned_only(request.sent_at) and not timed_out and (request.runs or later):
            self.rules.lost(f"{request.id} at {request.node} was cut off after status {outcome.status}")

    def account(self, request, fields):
        if "X-Program-Id" in fields:
            self.rules.handed_out(fields["X-Program-Id"], request.last_event_sent * TOKENS_PER_EVENT,
                                  int(fields["X-Token-Budget"]), MOST_TOKENS)

    async def receive(self, request, reader, outcome):
        message = await http.read_head(reader)
        if message is None:
            return
        outcome.status = message.status
        outcome.retry_after = float(message.fields.get("retry-after", 0))
        self.rules.answered(request, message.status)
        if request.kind == "streaming" and message.status == 200:
            await self.receive_stream(request, reader, message, outcome)
            return
        body = b"".join([piece async for piece in http.read_pieces(reader, message.fields)])
        outcome.complete = True
        if message.status == 200:
            self.rules.whole(request, message.fields, body, plain_answer(request.id, request.expected_body))

    async def receive_stream(self, request, reader, message, outcome):
        text = b""
        pieces = http.read_pieces(reader, message.fields)
        while True:
            try:
                piece = await asyncio.wait_for(pieces.__anext__(), GAP_S)
            except StopAsyncIteration:
                break
            text += piece
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                number, data = (line.split(": ", 1)[1] for line in event.decode().split("\n"))
                expected = request.last_event_sent + 1
                self.rules.event(request, int(number), data, expected, event_data(request.id, expected))
                outcome.output += data + "\n"
        if request.last_event_sent != EVENTS:
            self.rules.broken("ORDER", f"{request.id} ended as complete after event {request.last_event_sent}")
        outcome.complete = True

    # Requests with the retries of a client, and programs.

    async def ask(self, route, body, expected_body, fields):
        end = time.monotonic() + DEADLINE_S[route]
        outcome = Outcome()
        for again in range(2):
            left = end - time.monotonic()
            if left <= 0.1:
                break
            outcome = await self.attempt(route, body, expected_body, fields, left, again > 0)
            promised = outcome.status in (429, 503) or (outcome.status == 0 and not outcome.id)
            if outcome.status in (200, 400, 402, 404) or not (promised or KINDS[route] == "idempotent"):
                break
            await asyncio.sleep(min(outcome.retry_after, (end - time.monotonic()) / 3))
        self.asked += 1
        self.served += outcome.status == 200 and outcome.complete
        self.soak.note(route, outcome)
        return outcome

    async def turn(self, program, chain, new_input, budget):
        """Sends one turn of a conversation; returns its id and output, or None when it failed for good."""
        history = "".join(turn_input + output for _, turn_input, output in chain)
        fields = {"X-Program-Id": program, "X-Session-Id": program, "X-Token-Budget": budget,
                  "X-Token-Usage": f"100,{MOST_TOKENS}", "X-Program-Deadline-Ms": 20000}
        if chain:
            fields["X-Previous-Turn"] = chain[-1][0]
        for _ in range(3):
            outcome = await self.ask("chat", new_input.encode(), (history + new_input).encode(), fields)
            if outcome.status == 200 and outcome.complete:
                return outcome
            if outcome.status in (404, 410):
                self.rules.lost(f"{outcome.id} was answered {outcome.status}, but {chain[-1][0] if chain else 'no turn'} exists")
            if outcome.status in (402, 404):
                return outcome
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
        return outcome

    async def program(self, number):
        """Runs one program; returns its chain of whole turns."""
        program = f"{self.name}.p{number}"
        turns = self.random.randint(2, 5)
        budget = MOST_TOKENS * self.random.choice((2, turns, turns * 4))
        chain = []
        for index in range(turns):
            new_input = f"{program} turn {index} {'x' * self.random.randint(0, 3000)}\n"
            outcome = await self.turn(program, chain, new_input, budget)
            if not (outcome.status == 200 and outcome.complete):
                break
            chain.append((outcome.id, new_input, outcome.output))
            await self.tools(program)
        return program, chain, budget

    async def tools(self, program):
        """Calls some tools, and a sub-agent without history, at the same time."""
        calls = []
        for _ in range(self.random.randint(0, 2)):
            route = self.random.choice(("read", "lodge"))
            body = b"" if route == "read" else f"{program} {self.count}".encode()
            calls.append(self.ask(route, body, body, {}))
        if self.random.random() < 0.3:
            body = f"{program} brief".encode()
            calls.append(self.ask("brief", body, body, {"X-Token-Usage": f"50,{MOST_TOKENS}"}))
        await asyncio.gather(*calls)
