"""Checks, from what callers and endpoints see, that the gateway keeps its promises."""

import time
from dataclasses import dataclass, field

NOT_RUN = {402, 408, 421, 429, 503}


@dataclass
class Request:
    """One attempt of a caller and everything that was seen of it."""

    id: str
    kind: str  # idempotent, non_idempotent, streaming
    route: str
    target: str
    expected_body: bytes
    node: str
    incarnation: int
    sent_at: float
    resumable: bool = False
    most_endpoints: int = 2
    runs: list = field(default_factory=list)
    last_event_sent: int = 0
    status: int = 0
    refused_at: float = 0.0


class Rules:
    """Collects violations; each is a line with the name of the rule and the request."""

    def __init__(self, config_apply_s, rollback_slack_s):
        self.config_apply_s = config_apply_s
        self.rollback_slack_s = rollback_slack_s
        self.in_touch = lambda node, at: True
        self.requests = {}
        self.violations = []
        self.moves = []
        self.last_service = {}
        self.tokens = {}
        self.runs = 0
        self.answers = 0

    def broken(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def sent(self, request):
        self.requests[request.id] = request

    # What endpoints see.

    def ran(self, id, endpoint, service, target, body, last_event):
        """An endpoint starts to run a request."""
        self.runs += 1
        request = self.requests.get(id)
        if request is None:
            self.broken("UNASKED", f"{id} was never sent")
            return
        if target != request.target:
            self.broken("UNASKED", f"{id} ran with target {target}")
        if body != request.expected_body:
            self.broken("UNASKED", f"{id} ran with another body ({len(body)} of {len(request.expected_body)} bytes)")
        resumed = request.resumable and last_event > 0
        repeatable = request.kind == "idempotent" or resumed
        if request.runs and not repeatable and not (request.resumable and request.last_event_sent == 0):
            self.broken("TWICE", f"{id} ran at {request.runs[0][0]} and {endpoint}")
        if request.status in NOT_RUN:
            self.broken("REFUSED", f"{id} ran {time.monotonic() - request.refused_at:.3f} s after status {request.status}")
        request.runs.append((endpoint, service))
        if len(request.runs) > request.most_endpoints:
            self.broken("BUDGET", f"{id} ran {len(request.runs)} times")
        self.check_service(request, service)

    def check_service(self, request, service):
        """The route's service must be that of a configuration that may be in force, and never an older one again."""
        moves = [move for move in self.moves if move[1] == request.route]
        allowed = {moves[0][2]} if moves else {service}
        for at, _, _, after in moves:
            if request.sent_at > at + self.config_apply_s:
                allowed = {after}
            else:
                allowed.add(after)
        if service not in allowed and self.in_touch(request.node, request.sent_at):
            self.broken("CONFIG", f"{request.id} ran at {service}, allowed {sorted(allowed)}")
        key = (request.node, request.incarnation, request.route)
        order = [move[3] for move in moves]
        version = max((index + 1 for index, name in enumerate(order) if name == service), default=0)
        newest, seen_at = self.last_service.get(key, (0, 0.0))
        if version < newest and request.sent_at > seen_at + self.rollback_slack_s:
            self.broken("CONFIG", f"{request.id} ran at {service} after {request.node} had used a newer version")
        if version > newest:
            self.last_service[key] = (version, time.monotonic())

    def moved(self, route, before, after):
        """A configuration that moves the route was acknowledged; services are never used twice for a route."""
        self.moves.append((time.monotonic(), route, before, after))

    # What callers see.

    def answered(self, request, status):
        self.answers += 1
        request.status = status
        request.refused_at = time.monotonic()
        if status in NOT_RUN and request.runs:
            self.broken("REFUSED", f"{request.id} was answered {status} and ran at {request.runs[0][0]}")

    def whole(self, request, fields, body, expected):
        """A success that came to its end."""
        if "x-response-signature" not in fields:
            self.broken("MIXED", f"{request.id} was answered without a signature")
        if fields.get("x-request-id") != request.id:
            self.broken("MIXED", f"{request.id} was answered as {fields.get('x-request-id')}")
        if body != expected:
            self.broken("MIXED", f"{request.id} has {len(body)} bytes that are not the endpoint's {len(expected)}")

    def event(self, request, number, data, expected_number, expected_data):
        if number != expected_number:
            self.broken("ORDER", f"{request.id} has event {number} in place of {expected_number}")
        elif data != expected_data:
            self.broken("MIXED", f"{request.id} has the data of another run in event {number}")
        request.last_event_sent = number

    def handed_out(self, program, tokens, budget, most_of_a_turn):
        self.tokens[program] = self.tokens.get(program, 0) + tokens
        if self.tokens[program] > budget + most_of_a_turn:
            self.broken("BUDGET", f"program {program} got {self.tokens[program]} tokens of {budget}")

    def lost(self, text):
        self.broken("LOST", text)
