"""Simulated clients that run programs and report requests and responses to the rule checks."""

import asyncio
import json
import time
from dataclasses import dataclass

import http_wire as http
from answers import EVENTS_PER_STREAM, stream_output
from endpoints import plain_answer
from rules import Request

HOST = "soak.example"
DEADLINE_S = {"chat": 5.0, "brief": 5.0, "read": 1.5, "lodge": 4.0}
MAX_EVENT_GAP_S = 2.0
TOKENS_PER_EVENT = 2
MAX_TURN_TOKENS = EVENTS_PER_STREAM * TOKENS_PER_EVENT
MAX_ENDPOINTS = 2
LOSS_SLACK_S = 0.2
ENTRY_VALIDITY_S = 2.0
KINDS = {"chat": "streaming", "brief": "streaming", "read": "idempotent", "lodge": "non_idempotent"}


@dataclass
class Outcome:
    """Result of one attempt; status 0 means that no complete response head arrived."""

    status: int = 0
    complete: bool = False
    retry_after: float = 0.0
    closes: bool = False
    output: str = ""
    id: str = ""
    request: Request = None


class Caller:
    """One client with its cached gateway addresses and idle connections."""

    def __init__(self, soak, random, name, zone, key=""):
        self.soak = soak
        self.rules = soak.rules
        self.random = random
        self.name = name
        self.zone = zone
        self.key = key
        self.addresses = []
        self.addresses_valid_until = 0.0
        self.idle_connections = {}
        self.attempt_count = 0
        self.request_count = 0
        self.served_count = 0

    # Address lookup and connections.

    async def resolve_addresses(self):
        if time.monotonic() < self.addresses_valid_until and self.addresses:
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
                    self.addresses_valid_until = time.monotonic() + ENTRY_VALIDITY_S
                    return
            except (OSError, asyncio.TimeoutError, http.ConnectionLost):
                continue  # Tries the next node.

    async def connection(self, new_connection, node):
        """Returns (node, reader, writer, reused) for an idle connection or a new one; `node` is None for any listed node."""
        if node is None:
            await self.resolve_addresses()
            nodes = [each for each in self.soak.nodes if f"{each.ip}:7101" in self.addresses]
            if not nodes:
                raise OSError("no address")
            node = self.random.choice(nodes)
        if not new_connection and (idle := self.idle_connections.pop(node.name, None)) and idle[0] == node.incarnation:
            return node, idle[1], idle[2], True
        ip, port = node.caller_link.address.split(":")
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
        return node, reader, writer, False

    # One attempt.

    async def attempt(self, route, body, expected_body, fields, remaining_s, new_connection, broken=None,
                      broken_turn=None, key=None, node=None, held=None):
        """Sends one request; `broken` is the id of a stream and the last request for it, which this one resumes.
        `broken_turn` is a turn that broke off and that `fields` name as the turn before. `key` replaces the caller's,
        `node` is the one to ask, and `held` makes an endpoint break off a stream at a given moment."""
        self.attempt_count += 1
        id = f"{self.name}-{self.attempt_count}"
        try:
            node, reader, writer, reused = await self.connection(new_connection, node)
        except (OSError, asyncio.TimeoutError):
            return Outcome(id=id)
        method = "GET" if route == "read" else "POST"
        target = f"/{route}/work"
        request = Request(id, KINDS[route], route, target, expected_body, node.name, node.incarnation, time.monotonic(),
                          route == "brief", MAX_ENDPOINTS, broken_turn=broken_turn,
                          key=self.key if key is None else key, held=held, reused_connection=reused)
        if broken:
            stream, last = broken
            request.last_event_sent = last.last_event_sent
            request.run_name, request.received_run = last.run_name, last.received_run
            fields = fields | {"Last-Event-Id": last.last_event_sent, "Resumes": stream}
        self.rules.record_request(request)
        head = {"Host": HOST, "X-Request-Id": id, "X-Deadline-Ms": int(remaining_s * 1000)} | fields
        if self.soak.accounts:
            head |= self.account_fields(request.key)
        outcome = Outcome(id=id, request=request)
        try:
            writer.write(http.request_bytes(method, target, head, body))
            await asyncio.wait_for(self.receive(request, reader, outcome), remaining_s)
        except (OSError, http.ConnectionLost, asyncio.TimeoutError) as error:
            refused = writer.get_extra_info("sockname") in node.caller_link.refused_peers
            http.abort(writer)
            self.check_planned_loss(request, outcome, isinstance(error, asyncio.TimeoutError), refused)
            return outcome
        finally:
            self.record_tokens(request, fields)
        if not outcome.complete:
            refused = writer.get_extra_info("sockname") in node.caller_link.refused_peers
            self.check_planned_loss(request, outcome, False, refused)
        if outcome.complete and not outcome.closes:
            self.idle_connections[node.name] = (request.incarnation, reader, writer)
        else:
            http.abort(writer)
        return outcome

    def account_fields(self, key):
        """The key, and now and then the name of an account that the gateway must replace."""
        forged = {"X-Tenant": "forged"} if self.random.random() < 0.2 else {}
        return forged | ({"X-Key": key} if key else {})

    def check_planned_loss(self, request, outcome, timed_out, refused):
        """Reports a loss when planned work (stop, reload, configuration) cut off a request that a node had read. The
        link accepts every connection; one that the node then refused can be noticed late on a busy machine."""
        age = time.monotonic() - request.sent_at
        if refused and not request.runs:
            return
        if self.soak.only_planned_work_since(request.sent_at) and not timed_out and (request.runs or age > LOSS_SLACK_S):
            connection = "a used" if request.reused_connection else "a new"
            self.rules.report_loss(
                f"{request.id} at {request.node} was cut off after status {outcome.status}, {age:.3f} s after it was sent "
                f"on {connection} connection; it ran {len(request.runs)} times")

    def record_tokens(self, request, fields):
        if "X-Program-Id" in fields:
            self.rules.record_delivered_tokens(fields["X-Program-Id"], request.last_event_sent * TOKENS_PER_EVENT,
                                               int(fields["X-Token-Budget"]), MAX_TURN_TOKENS)

    async def receive(self, request, reader, outcome):
        message = await http.read_head(reader)
        if message is None:
            return
        outcome.status = message.status
        outcome.retry_after = float(message.fields.get("retry-after", 0))
        outcome.closes = message.fields.get("connection") == "close"
        self.rules.record_status(request, message.status)
        if "server-leaving" in message.fields:
            self.rules.record_leaving(request)
        if request.kind == "streaming" and message.status == 200:
            await self.receive_stream(request, reader, message, outcome)
            return
        self.require_framing(message)
        body = b"".join([piece async for piece in http.read_pieces(reader, message.fields)])
        outcome.complete = True
        if message.status == 200:
            self.rules.check_response(request, message.fields, body, plain_answer(request.id, request.expected_body))

    @staticmethod
    def require_framing(message):
        """A response without a length and without chunks ends with its connection: callers can't see that it is whole."""
        if "content-length" not in message.fields and message.fields.get("transfer-encoding") != "chunked":
            raise http.ConnectionLost("response without a length")

    async def receive_stream(self, request, reader, message, outcome):
        self.require_framing(message)
        text = b""
        pieces = http.read_pieces(reader, message.fields)
        while True:
            try:
                piece = await asyncio.wait_for(pieces.__anext__(), MAX_EVENT_GAP_S)
            except StopAsyncIteration:
                break
            text += piece
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                fields = dict(line.split(": ", 1) for line in event.decode().split("\n"))
                self.rules.check_event(request, int(fields["id"]), fields["data"])
                outcome.output += fields["data"] + "\n"
        self.rules.check_stream_end(request, text, EVENTS_PER_STREAM)
        outcome.complete = True

    # Requests with retries, and programs.

    async def send_with_retries(self, route, body, expected_body, fields):
        end = time.monotonic() + DEADLINE_S[route]
        outcome = Outcome()
        broken = None
        for retry in range(3 if route == "brief" else 2):
            remaining_s = end - time.monotonic()
            if remaining_s <= 0.1:
                break
            outcome = await self.attempt_or_resume(route, body, expected_body, fields, remaining_s, retry > 0, broken)
            if retry == 0:
                self.soak.record_first_try(outcome)
            if self.is_broken_stream(route, outcome):
                # A second resumption names the first attempt or the one before.
                first = broken[0] if broken and self.random.random() < 0.5 else outcome.id
                broken = (first, outcome.request)
                continue
            not_executed = outcome.status in (429, 503) or (outcome.status == 0 and not outcome.id)
            if outcome.status in (200, 400, 402, 404) or not (not_executed or KINDS[route] == "idempotent"):
                break
            await asyncio.sleep(min(outcome.retry_after, (end - time.monotonic()) / 3))
        self.request_count += 1
        self.served_count += outcome.status == 200 and outcome.complete
        self.soak.record_outcome(route, outcome)
        return outcome

    async def attempt_or_resume(self, route, body, expected_body, fields, remaining_s, new_connection, broken):
        """Sends one request; resumes a broken stream now and then by two requests at once, and returns the whole one."""
        count = 2 if broken and self.random.random() < 0.25 else 1
        outcomes = await asyncio.gather(*(
            self.attempt(route, body, expected_body, fields, remaining_s, new_connection, broken) for _ in range(count)))
        return max(outcomes, key=lambda outcome: (outcome.status == 200, outcome.complete))

    @staticmethod
    def is_broken_stream(route, outcome):
        return (route == "brief" and outcome.status == 200 and not outcome.complete
                and 0 < outcome.request.last_event_sent < EVENTS_PER_STREAM)

    async def run_turn(self, program, chain, new_input, budget):
        """Sends one turn of a conversation, up to three times; returns the last outcome."""
        history = "".join(turn_input + output for _, turn_input, output in chain)
        fields = {"X-Program-Id": program, "X-Session-Id": program, "X-Token-Budget": budget,
                  "X-Token-Usage": f"100,{MAX_TURN_TOKENS}", "X-Program-Deadline-Ms": 20000}
        if chain:
            fields["X-Previous-Turn"] = chain[-1][0]
        for _ in range(3):
            outcome = await self.send_with_retries("chat", new_input.encode(), (history + new_input).encode(), fields)
            if outcome.status == 200 and outcome.complete:
                return outcome
            if outcome.status in (404, 410):
                self.rules.report_loss(
                    f"{outcome.id} was answered {outcome.status}, but {chain[-1][0] if chain else 'no turn'} exists")
            if outcome.status in (402, 404):
                return outcome
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
            if outcome.status == 200:
                await self.continue_broken_turn(outcome, history + new_input, fields)
        return outcome

    async def continue_broken_turn(self, broken, text, fields):
        """Names a turn that broke off as the turn before, in a program of its own, so that no budget refuses it: no
        endpoint may run this, unless the turn became whole."""
        expected = text + stream_output(broken.id, broken.request.run_name) + "and then\n"
        own = {"X-Program-Id": f"{broken.id}.after", "X-Token-Budget": 2 * MAX_TURN_TOKENS, "X-Previous-Turn": broken.id}
        await self.attempt("chat", b"and then\n", expected.encode(), fields | own, DEADLINE_S["chat"], True,
                           broken_turn=broken.request)

    # Streams that their callers take up later.

    async def send_briefs(self, count):
        for index in range(count):
            body = f"{self.name} brief {index}".encode()
            await self.send_with_retries("brief", body, body, {"X-Token-Usage": f"50,{MAX_TURN_TOKENS}"})

    async def begin_brief(self, text):
        """Begins a stream that may be resumed; returns its outcome, normally of a broken one."""
        body = f"{self.name} {text}".encode()
        return await self.attempt("brief", body, body, {"X-Token-Usage": f"50,{MAX_TURN_TOKENS}"}, DEADLINE_S["brief"], True)

    async def resume_brief(self, begun):
        """Resumes the stream until it is whole or refused."""
        if not self.is_broken_stream("brief", begun):
            return
        body = begun.request.expected_body
        fields = {"X-Token-Usage": f"50,{MAX_TURN_TOKENS}"}
        outcome = await self.attempt_or_resume(
            "brief", body, body, fields, DEADLINE_S["brief"], True, (begun.id, begun.request))
        self.soak.record_resumption(outcome)

    async def run_program(self, number):
        """Runs one program; returns its id, its chain of complete turns and its token budget."""
        program = f"{self.name}.p{number}"
        turns = self.random.randint(2, 5)
        budget = MAX_TURN_TOKENS * self.random.choice((2, turns, turns * 4))
        chain = []
        for index in range(turns):
            new_input = f"{program} turn {index} {'x' * self.random.randint(0, 3000)}\n"
            outcome = await self.run_turn(program, chain, new_input, budget)
            if not (outcome.status == 200 and outcome.complete):
                break
            chain.append((outcome.id, new_input, outcome.output))
            await self.call_tools(program)
        return program, chain, budget

    async def call_tools(self, program):
        """Makes up to two tool calls and sometimes a sub-agent call without history, all concurrently."""
        calls = []
        for _ in range(self.random.randint(0, 2)):
            route = self.random.choice(("read", "lodge"))
            body = b"" if route == "read" else f"{program} {self.attempt_count}".encode()
            calls.append(self.send_with_retries(route, body, body, {}))
        if self.random.random() < 0.3:
            body = f"{program} brief".encode()
            calls.append(self.send_with_retries("brief", body, body, {"X-Token-Usage": f"50,{MAX_TURN_TOKENS}"}))
        await asyncio.gather(*calls)
