"""Clients beside the ordinary callers: with keys that must not work, on a key that is revoked, and over a quota."""

import asyncio
import glob
import random as randoms
import time

import http_wire as http
from accounts import CROWD, REVOKE_S, REVOKED_IN_PHASE
from callers import Caller

CROWD_CALLS_PER_S = 40
STRANGER_PAUSE_S = 0.15
PROBE_PAUSE_S = 0.25
PROBES_PER_NODE = 4
PROBE_TIMEOUT_S = 2.0
STREAMS_PER_NODE = 3


class AccountClients:
    """Strangers, holders of keys that are revoked, and the crowd of one account."""

    def __init__(self, soak, seed):
        self.soak = soak
        self.accounts = soak.accounts
        self.random = randoms.Random(seed + 3)
        self.strangers = [self.client(f"s{index}") for index in range(2)]
        self.crowd = [self.client(f"f{index}", self.accounts.keys[CROWD]) for index in range(8)]
        self.outcomes = {}

    def client(self, name, key=""):
        return Caller(self.soak, randoms.Random(self.random.random()), name, "east-1", key)

    async def send(self, client, route, key, node, text, new_connection=False, timeout_s=PROBE_TIMEOUT_S,
                   held=None, previous_turn=""):
        """Sends one request straight to a node, without a retry."""
        body = b"" if route == "read" else f"{client.name} {text}".encode()
        fields = {} if route in ("read", "lodge") else {"X-Token-Usage": "50,24"}
        if previous_turn:
            fields["X-Previous-Turn"] = previous_turn
        outcome = await client.attempt(route, body, body, fields, timeout_s, new_connection, key=key, node=node,
                                       held=held)
        self.outcomes[(text, outcome.status)] = self.outcomes.get((text, outcome.status), 0) + 1
        return outcome

    # Keys that no configuration has, and temporary keys before and after their revocation.

    async def run_stranger(self, client):
        keys = ["", *self.accounts.unknown_keys, *self.accounts.temporary_keys]
        while self.soak.elapsed() < self.soak.callers_end_s:
            node = self.random.choice(self.soak.nodes)
            key = self.random.choice(keys)
            await self.send(client, self.random.choice(("read", "lodge", "brief")), key, node, "stranger",
                            self.random.random() < 0.5)
            await self.name_turn_of_another_account(client, node)
            await asyncio.sleep(STRANGER_PAUSE_S)

    async def name_turn_of_another_account(self, client, node):
        """Goes on from a turn that exists, with the key of another account."""
        program, chain, _ = self.random.choice(self.soak.chains or [("", [], 0)])
        if not chain:
            return
        owner = self.soak.caller_of(program).key
        key = self.random.choice([key for key in self.accounts.keys.values() if key != owner])
        outcome = await self.send(client, "chat", key, node, "turn", previous_turn=chain[-1][0])
        if outcome.status == 200:
            self.soak.rules.report_violation("KEY turn", f"{outcome.id} went on from a turn of another account")

    def revoke(self, index, judge_sends=False):
        """Takes a temporary key away by a new configuration, which the store acknowledges at once."""
        key = self.accounts.temporary_keys[index]
        self.accounts.revoked.add(key)
        self.soak.publish_configuration()
        self.soak.rules.record_revocation(key, judge_sends)
        return key

    async def play_revocation(self, step):
        """Revokes a key while some nodes are cut off from the store and another one is frozen for longer than the bound.

        Streams on the key begin before and break after the bound: going on with them at another endpoint needs the key.
        """
        soak, key = self.soak, self.accounts.temporary_keys[REVOKED_IN_PHASE]
        nodes = self.random.sample(soak.nodes, len(soak.nodes))
        cut, frozen = nodes[:len(nodes) // 2], nodes[len(nodes) // 2:][:max(1, len(nodes) // 10)]
        probers = [[self.client(f"r{node.name}{index}") for index in range(PROBES_PER_NODE)] for node in nodes]
        await asyncio.gather(*(self.send(client, "read", key, node, "before")
                               for node, clients in zip(nodes, probers) for client in clients))
        for node in cut:
            node.mark_disturbed()
            node.store_link.mode = "cut"
        freezes = [soak.spawn(node.freeze(step.duration_s)) for node in frozen]
        await asyncio.sleep(0.3)
        held = asyncio.Event()
        streams = [soak.spawn(self.send(self.client(f"h{node.name}{index}"), "brief", key, node, "held", True, 5.0, held))
                   for node in nodes if node not in frozen for index in range(STREAMS_PER_NODE)]
        # A poll that the frozen node sent before has its answer, which does not know the new configuration.
        await asyncio.sleep(0.6)
        self.revoke(REVOKED_IN_PHASE, judge_sends=True)
        revoked_at = time.monotonic()
        end = revoked_at + REVOKE_S + 1.8
        probes = [soak.spawn(self.probe(client, key, node, revoked_at + REVOKE_S + 0.02, end))
                  for node, clients in zip(nodes, probers) for client in clients]
        await asyncio.sleep(REVOKE_S + 0.4)
        held.set()
        await asyncio.gather(*freezes, *streams, *probes)
        for node in cut:
            node.store_link.mode = "ok"
            node.mark_disturbed()
        # Sends are judged only while no other fault delays them on their way.
        soak.rules.judge_sends_until(time.monotonic())

    def check_coverage(self):
        """A run that stood still in the phase of revocation has shown nothing about it, and doesn't pass."""
        sent = sum(count for (text, _), count in self.outcomes.items() if text == "after")
        if sent < len(self.soak.nodes):
            self.soak.rules.report_violation("COVERAGE", f"{sent} requests were sent on the revoked key after the bound")

    async def probe(self, client, key, node, start, end):
        """Sends requests on a key from a time on; the connection is older, so that a frozen node finds them at once."""
        await asyncio.sleep(max(0, start - time.monotonic()) + self.random.uniform(0, PROBE_PAUSE_S))
        while time.monotonic() < end:
            await self.send(client, "read", key, node, "after")
            await asyncio.sleep(PROBE_PAUSE_S)

    # The account over its quota.

    async def run_crowd(self, client):
        """Sends several times the account's rate through all nodes, and ignores when to come back."""
        count = 0
        while self.soak.elapsed() < self.soak.callers_end_s:
            count += 1
            started = time.monotonic()
            node = self.random.choice(self.soak.nodes)
            await self.send(client, self.random.choice(("read", "lodge", "brief")), client.key, node, "crowd",
                            timeout_s=1.0)
            await asyncio.sleep(max(0, len(self.crowd) / CROWD_CALLS_PER_S - (time.monotonic() - started)))

    # Keys in what gateways write.

    async def check_metrics(self):
        for node in self.soak.nodes:
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, 7104), 1)
                writer.write(http.request_bytes("GET", "/metrics", {"Host": node.name}))
                answer = await asyncio.wait_for(http.read_message(reader), 1)
                http.abort(writer)
            except (OSError, asyncio.TimeoutError, http.ConnectionLost) as error:
                self.soak.rules.report_violation("RECOVER", f"{node.name} gave no metrics: {error!r}")
                continue
            self.soak.rules.check_written(f"metrics of {node.name}", answer.body, self.accounts.all_keys())

    def check_logs(self, directory):
        """Searches the logs of all nodes for keys; every run of a node is in them."""
        for name in sorted(glob.glob(f"{directory}/*.log")):
            with open(name, "rb") as file:
                self.soak.rules.check_written(name, file.read(), self.accounts.all_keys())
