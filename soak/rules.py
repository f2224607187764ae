"""Checks the guarantees of the gateway against what callers and endpoints observe."""

import asyncio
import collections
import time
from dataclasses import dataclass, field

from accounts import CROWD, QUOTA_WINDOW_S, REVOKE_S

LIMIT_WINDOW_S = 4.0
LIMIT_CONTACT_S = 4.0
LIMIT_KNOWN_AFTER_S = 0.5
DRAIN_S = 2.5
NOT_RUN = {402, 408, 421, 429, 503}
# Time for the way of a request to an endpoint and for its reading there.
SEND_SLACK_S = 0.25


@dataclass
class Request:
    """One attempt of a caller and everything observed about it."""

    id: str
    kind: str  # idempotent, non_idempotent, streaming
    route: str
    target: str
    expected_body: bytes
    node: str
    incarnation: int
    sent_at: float
    resumable: bool = False
    max_endpoints: int = 2
    runs: list = field(default_factory=list)
    last_event_sent: int = 0
    run_name: str = ""  # service and version of the endpoint that began the stream, as endpoints report them
    received_run: str = ""  # the same, as the text of the events shows it
    whole: bool = False  # an endpoint sent its whole stream
    broken_turn: "Request" = None  # turn that the caller saw broken off, and that this request names as the one before
    status: int = 0
    refused_at: float = 0.0
    key: str = ""
    held: asyncio.Event = None  # the stream is slow until then, and breaks off
    reused_connection: bool = False


class Rules:
    """Collects violations; each is a line with the name of the rule and the request."""

    def __init__(self, config_apply_s, rollback_slack_s, accounts=None):
        self.config_apply_s = config_apply_s
        self.rollback_slack_s = rollback_slack_s
        self.had_store_contact = lambda node, at: True
        self.requests = {}
        self.violations = []
        self.moves = []
        self.last_service = {}
        self.tokens = {}
        self.limits = {}
        self.accounts = accounts
        self.revoked_at = {}
        self.judged_sends = {}
        self.crowd_runs = collections.deque()
        self.most_crowd_runs = 0
        self.limit_judged = 0
        # Time at which a process of a node first passed on the notice of an endpoint that it is leaving.
        self.leaving_notices = {}
        self.runs = 0
        self.answers = 0

    def report_violation(self, rule, text):
        self.violations.append(f"{rule}: {text}")

    def record_request(self, request):
        self.requests[request.id] = request

    # Observations of endpoints.

    def record_arrival(self, id, endpoint, limit_per_s):
        """Counts the requests that an endpoint with a rate limit gets from nodes that know the limit."""
        if limit_per_s is None or id not in self.requests:
            return
        now = time.monotonic()
        limited_at, known_at, arrivals = self.limits.setdefault(endpoint, (now, {}, []))
        node = self.requests[id].node
        if now >= known_at.setdefault(node, now + LIMIT_KNOWN_AFTER_S):
            arrivals.append(now)
        count = sum(at > now - LIMIT_WINDOW_S for at in arrivals)
        if now <= limited_at + LIMIT_CONTACT_S + LIMIT_WINDOW_S:
            return
        self.limit_judged += 1
        if count > 1.5 * limit_per_s * LIMIT_WINDOW_S + 5:
            self.report_violation("LIMIT", f"{endpoint} got {count} requests in {LIMIT_WINDOW_S} s, limit {limit_per_s} a second")

    def record_execution(self, id, endpoint, service, target, body, last_event, run_name):
        """Records that an endpoint starts to execute a request, and checks that it may."""
        self.runs += 1
        request = self.requests.get(id)
        if request is None:
            self.report_violation("UNASKED", f"{id} was never sent")
            return
        if target != request.target:
            self.report_violation("UNASKED", f"{id} ran with target {target}")
        if request.broken_turn and not request.broken_turn.whole:
            self.report_violation("UNASKED short", f"{id} goes on from {request.broken_turn.id}, which broke off")
        elif body != request.expected_body:
            self.report_violation(
                "UNASKED", f"{id} ran with another body ({len(body)} of {len(request.expected_body)} bytes)")
        resumed = request.resumable and last_event > 0
        if resumed and request.run_name != run_name:
            self.report_violation("ORDER joined", f"{id} was begun by {request.run_name} and went on at {run_name}")
        request.run_name = run_name
        repeatable = request.kind == "idempotent" or resumed
        if request.runs and not repeatable and not (request.resumable and request.last_event_sent == 0):
            self.report_violation("TWICE", f"{id} ran at {request.runs[0][0]} and {endpoint}")
        if request.status in NOT_RUN:
            self.report_violation(
                "REFUSED", f"{id} ran {time.monotonic() - request.refused_at:.3f} s after status {request.status}")
        self.check_leaving(request, endpoint)
        request.runs.append((endpoint, service))
        if len(request.runs) > request.max_endpoints:
            self.report_violation("BUDGET", f"{id} ran {len(request.runs)} times")
        self.check_service(request, service)

    # Endpoints that are leaving.

    def record_leaving(self, request):
        """Records that a node passed on a response in which an endpoint says that it is leaving."""
        if request.runs:
            key = (request.node, request.incarnation, request.runs[-1][0])
            self.leaving_notices.setdefault(key, time.monotonic())

    def forget_leaving(self, endpoint):
        """The process of the endpoint has ended."""
        self.leaving_notices = {key: at for key, at in self.leaving_notices.items() if key[2] != endpoint}

    def check_leaving(self, request, endpoint):
        noticed_at = self.leaving_notices.get((request.node, request.incarnation, endpoint))
        if noticed_at is not None and request.sent_at > noticed_at + DRAIN_S:
            self.report_violation(
                "DRAIN leaving", f"{request.id} reached {endpoint} from {request.node} "
                f"{request.sent_at - noticed_at:.3f} s after the notice")

    # Accounts, at endpoints.

    def held(self, id):
        return self.requests[id].held if id in self.requests else None

    def check_forwarded(self, id, message):
        """Checks that a message to an endpoint contains no key."""
        if self.accounts is None:
            return
        texts = [*message.fields.values(), message.line[1], message.body.decode("latin-1")]
        if "x-key" in message.fields or any(key in text for text in texts for key in self.accounts.all_keys()):
            self.report_violation("KEY forwarded", f"{id} reached an endpoint with a key")

    def check_account(self, id, account):
        """Checks that a request runs on the account of its key, which is not revoked, and within its quota."""
        request = self.requests.get(id)
        if self.accounts is None or request is None:
            return
        now = time.monotonic()
        owner = self.accounts.account_by_key.get(request.key)
        if owner is None:
            form = "on a key that no configuration had" if request.key else "without a key"
            self.report_violation("KEY unknown", f"{id} ran {form}, as {account}")
        elif account != owner:
            self.report_violation("KEY account", f"{id} of {owner} ran as {account}")
        self.check_revocation(request, now)
        if owner == CROWD:
            self.check_quota(id, now)

    def check_revocation(self, request, now):
        if request.key not in self.revoked_at:
            return
        bound = self.revoked_at[request.key] + REVOKE_S
        if request.sent_at > bound:
            self.report_violation(
                "REVOKED", f"{request.id} was sent to {request.node} {request.sent_at - bound:.3f} s after the bound and ran")
        elif bound + SEND_SLACK_S < now < self.judged_sends.get(request.key, 0):
            self.report_violation("REVOKED late", f"{request.id} at {request.node} ran {now - bound:.3f} s after the bound")

    def check_quota(self, id, now):
        self.crowd_runs.append(now)
        while self.crowd_runs[0] <= now - QUOTA_WINDOW_S:
            self.crowd_runs.popleft()
        self.most_crowd_runs = max(self.most_crowd_runs, len(self.crowd_runs))
        if len(self.crowd_runs) > self.accounts.quota_per_window():
            self.report_violation("QUOTA", f"{id} is number {len(self.crowd_runs)} of {CROWD} in {QUOTA_WINDOW_S} s, "
                                           f"limit {self.accounts.quota_per_window():.1f}")

    def record_revocation(self, key, judge_sends):
        """Records that the store has acknowledged a configuration without the key. With `judge_sends`, requests that
        were sent before must not reach an endpoint later either, until `judge_sends_until`."""
        self.revoked_at[key] = time.monotonic()
        if judge_sends:
            self.judged_sends[key] = float("inf")

    def judge_sends_until(self, at):
        for key in self.judged_sends:
            self.judged_sends[key] = at

    def check_written(self, name, data, keys):
        """Checks that a log or metrics contain no key."""
        if any(key.encode() in data for key in keys):
            self.report_violation("KEY written", f"{name} contains a key")

    def record_whole_run(self, id):
        if id in self.requests:
            self.requests[id].whole = True

    def check_service(self, request, service):
        """Checks that the service belongs to a configuration possibly in force, and that no node reverts to an older one."""
        moves = [move for move in self.moves if move[1] == request.route]
        allowed = {moves[0][2]} if moves else {service}
        for at, _, _, after in moves:
            if request.sent_at > at + self.config_apply_s:
                allowed = {after}
            else:
                allowed.add(after)
        if service not in allowed and self.had_store_contact(request.node, request.sent_at):
            self.report_violation("CONFIG", f"{request.id} ran at {service}, allowed {sorted(allowed)}")
        key = (request.node, request.incarnation, request.route)
        order = [move[3] for move in moves]
        version = max((index + 1 for index, name in enumerate(order) if name == service), default=0)
        newest, seen_at = self.last_service.get(key, (0, 0.0))
        if version < newest and request.sent_at > seen_at + self.rollback_slack_s:
            self.report_violation(
                "CONFIG", f"{request.id} ran at {service} after {request.node} had used a newer version")
        if version > newest:
            self.last_service[key] = (version, time.monotonic())

    def record_route_move(self, route, before, after):
        """Records an acknowledged configuration that moves the route; a route never returns to an earlier service."""
        self.moves.append((time.monotonic(), route, before, after))

    # Observations of callers.

    def record_status(self, request, status):
        self.answers += 1
        if not 100 <= status <= 599:
            self.report_violation("MIXED status", f"{request.id} was answered {status:03}")
        request.status = status
        request.refused_at = time.monotonic()
        if status in NOT_RUN and request.runs:
            self.report_violation("REFUSED", f"{request.id} was answered {status} and ran at {request.runs[0][0]}")

    def check_response(self, request, fields, body, expected):
        """Checks a complete successful response."""
        if "x-response-signature" not in fields:
            self.report_violation("MIXED", f"{request.id} was answered without a signature")
        if fields.get("x-request-id") != request.id:
            self.report_violation("MIXED", f"{request.id} was answered as {fields.get('x-request-id')}")
        if body != expected:
            short = " short" if expected.startswith(body) else ""
            self.report_violation(
                f"MIXED{short}", f"{request.id} has {len(body)} bytes that are not the endpoint's {len(expected)}")

    def check_event(self, request, number, data):
        """Checks the number and the text of the next event of a stream."""
        last = request.last_event_sent
        request.last_event_sent = number
        if number != last + 1:
            form = "missing" if number > last else "twice" if number == last else "back"
            self.report_violation(f"ORDER {form}", f"{request.id} has event {number} after {last}")
        id, run, text_number = (data.split(" ") + ["", ""])[:3]
        if (id, text_number) != (request.id, str(number)):
            self.report_violation("MIXED", f"{request.id} has the data of another event in event {number}: {data}")
        elif request.received_run not in ("", run):
            self.report_violation(
                "ORDER joined", f"{request.id} was begun by {request.received_run} and has event {number} of {run}")
        request.received_run = request.received_run or run

    def check_stream_end(self, request, rest, event_count):
        """Checks a stream that its framing showed as complete."""
        if request.last_event_sent != event_count or rest:
            self.report_violation("ORDER early", f"{request.id} ended as complete after event {request.last_event_sent}")

    def record_delivered_tokens(self, program, tokens, budget, max_turn_tokens):
        self.tokens[program] = self.tokens.get(program, 0) + tokens
        if self.tokens[program] > budget + max_turn_tokens:
            self.report_violation("BUDGET", f"program {program} got {self.tokens[program]} tokens of {budget}")

    def report_loss(self, text):
        self.report_violation("LOST", text)
