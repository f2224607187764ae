"""Machines of a zone are stopped in turn; some clients keep an entry answer for three times its ttlS. See claim.txt."""

import asyncio
import json
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))

import case as cases  # noqa: E402
import client  # noqa: E402
import system  # noqa: E402
import wire  # noqa: E402

CONTACT_S = system.BOUNDS["contactMs"] / 1000
GRACE_S = system.BOUNDS["graceS"]
# 25 events with a pause of 0.2 s each, below the 250 ms that the route allows.
EVENTS = 25
STREAM_S = 5.0
DEADLINE_S = 6.0
CLIENTS = 28
LONG_KEEPERS = 14
# Programs that a client runs at the same time, with one entry answer for all.
PROGRAMS = 8
STOPPED = 3
GAP_S = 1.3


async def look_up(node, zone):
    """Asks a machine which addresses to use; returns them with ttlS."""
    reader, writer = await asyncio.open_connection(node.ip, system.PORTS["directory"])
    writer.write(wire.request("GET", f"/v1/lookup?name={client.HOST}&region={system.ZONES[zone]}&zone={zone}",
                              {"Host": client.HOST}))
    message = await wire.read_message(reader)
    wire.reset(writer)
    if message is None or message.status != 200:
        raise wire.Lost("no answer")
    answer = json.loads(message.body)
    return answer["addresses"], min(answer["ttlS"], system.BOUNDS["ttl_max_s"])


async def body(case):
    route = {"name": "r-talk", "host": client.HOST, "pathPrefix": "/pufi791/", "kind": "streaming",
             "timeoutMs": 6000, "targetLatencyMs": 300, "targetGapMs": 250, "priority": 0, "service": "huvo11a",
             "maxAttempts": 2, "retainContext": True, "retentionS": 60.0, "sticky": True, "resumable": False}
    engine = {"slots": 64, "kvCapacityTokens": 264043, "tokensPerEvent": 2}
    case.configure([route], [{"name": "huvo11a", "healthPath": "/health", "maxConns": 370, "engine": engine}])
    zones = list(system.ZONES)
    await case.add_workers("huvo11a", [zones[number % 3] for number in range(12)], slots=64, engine=True,
                           work_s=STREAM_S, events=EVENTS)
    ran = {}
    for worker in case.workers:
        worker.on_run = lambda worker, request: ran.setdefault(request.fields["x-request-id"], worker.id)
    await case.add_nodes([zones[number % 3] for number in range(12)])
    await asyncio.sleep(CONTACT_S)

    zone = zones[0]
    machines = [node for node in case.nodes if node.zone == zone]
    stops = {}
    over = asyncio.Event()
    lost, excused = [], []

    async def ask(zone):
        """Looks up at one machine after the other, as clients do."""
        while True:
            for node in random.sample(machines, len(machines)):
                try:
                    return await asyncio.wait_for(look_up(node, zone), 1)
                except (OSError, asyncio.TimeoutError, wire.Lost):
                    continue
            await asyncio.sleep(0.1)

    class Client:
        """Keeps one entry answer for all of its programs."""

        def __init__(self, number):
            self.long = number < LONG_KEEPERS
            self.addresses, self.failed, self.valid_until = [], set(), 0.0
            self.asking = asyncio.Lock()

        async def pick(self):
            async with self.asking:
                usable = [address for address in self.addresses if address not in self.failed]
                if case.now() >= self.valid_until or not usable:
                    self.addresses, ttl_s = await ask(zone)
                    self.failed, self.valid_until = set(), case.now() + ttl_s * (3 if self.long else 1)
                    usable = self.addresses
            return random.choice(usable)

    async def run_program(user):
        """Sends one first turn after the other, each on a new connection."""
        await asyncio.sleep(random.uniform(0, STREAM_S))
        while not over.is_set():
            address = await user.pick()
            node = next(each for each in machines if address.startswith(each.ip + ":"))
            id, program, process, sent = client.new_id(), client.new_id(), node.process, case.now()
            answer, kept = await client.attempt(
                node.ip, "POST", "/pufi791/4b",
                {"X-Request-Id": id, "X-Program-Id": program, "X-Session-Id": program, "X-Token-Budget": 1088,
                 "X-Token-Usage": "1840,136", "X-Program-Deadline-Ms": 13000, "X-Model": "m"}, b"x" * 1000, DEADLINE_S)
            if kept:
                wire.reset(kept[1])
            ended = case.now()
            if answer.status == 0:
                user.failed.add(address)
            if id in ran and answer.status and not answer.complete:
                # The SIGTERM of the process that took the request, if it had got one.
                at = stops.get(process.pid)
                after = sent - at if at is not None else None
                case.note("cut: request", id, "at", node.name, "of a client that keeps answers",
                          "three times ttlS," if user.long else "for ttlS,", "sent", f"{after or 0:.2f}", "cut",
                          f"{ended - (at or 0):.2f}", "s after the SIGTERM", answer.status, "events",
                          answer.body.count(b"data: "), "of", EVENTS, "worker", ran[id])
                # Not counted: sent no later than 3 s after the SIGTERM and at work in the last sixth of graceS.
                counted = after is not None and after > 3 and ended - sent < DEADLINE_S - 0.2
                (lost if counted else excused).append((after, ended - (at or 0), ran[id]))
            await asyncio.sleep(random.uniform(0, 0.5))

    async def stop_in_turn():
        await asyncio.sleep(STREAM_S + 3)
        for node in machines[:STOPPED]:
            process = node.process
            stops[process.pid] = case.now()
            if case.trouble:
                node.send(signal.SIGTERM)
            try:
                await asyncio.wait_for(process.wait() if case.trouble else asyncio.sleep(GRACE_S - 1), GRACE_S)
            except asyncio.TimeoutError:
                case.note("still runs after graceS: SIGKILL", node.name)
                process.kill()
            await asyncio.sleep(system.RESTART_DELAY_S + GAP_S)
        over.set()

    users = [Client(number) for number in range(CLIENTS)]
    await asyncio.gather(stop_in_turn(), *(run_program(user) for user in users for _ in range(PROGRAMS)))
    case.note("cut and counted:", len(lost), "cut and not counted:", len(excused))
    if lost:
        sent, cut, worker = lost[0]
        return (f"{len(lost)} streams were cut that worker and client were still at work on; the first was sent "
                f"{sent:.1f} s after the SIGTERM, ran at {worker} and was cut {cut:.1f} s after it")
    return ""


cases.main("2", body)
