"""The process that last wrote to the store under a condition is killed once. See claim.txt."""

import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))

import case as cases  # noqa: E402
import client  # noqa: E402
import system  # noqa: E402

CONTACT_S = system.BOUNDS["contactMs"] / 1000
TURNS = 8
TOKENS_PER_EVENT = 2
EVENTS = 68
MOST = EVENTS * TOKENS_PER_EVENT
BUDGET = TURNS * MOST
TURN_S = 0.4
PAUSE_S = 0.5
# 2.4 times the time on idle workers, tools and pauses included, and the objective of the first event.
AIM_S = 2.4 * TURNS * (TURN_S + PAUSE_S) + 0.3
PROGRAMS = 12


async def body(case):
    route = {"name": "r-talk", "host": client.HOST, "pathPrefix": "/pufi791/", "kind": "streaming",
             "timeoutMs": 6000, "targetLatencyMs": 300, "targetGapMs": 250, "priority": 0, "service": "huvo11a",
             "maxAttempts": 2, "retainContext": True, "retentionS": 60.0, "sticky": True, "resumable": False}
    engine = {"slots": 64, "kvCapacityTokens": 264043, "tokensPerEvent": TOKENS_PER_EVENT}
    case.configure([route], [{"name": "huvo11a", "healthPath": "/health", "maxConns": 370, "engine": engine}])
    zones = list(system.ZONES)
    await case.add_workers("huvo11a", [zones[number % 3] for number in range(12)], slots=64, engine=True,
                           work_s=TURN_S, events=EVENTS)
    arrived = set()
    for worker in case.workers:
        worker.on_run = lambda worker, request: arrived.add(request.fields["x-request-id"])
    await case.add_nodes([zones[number % 3] for number in range(12)])
    await asyncio.sleep(CONTACT_S)
    handed, last_writer = {}, []
    case.store.on_condition = lambda address: last_writer.append(address)
    calm_from = 0.0

    async def attempt(program, input, previous, zone, left_s):
        id = client.new_id()
        fields = {"X-Request-Id": id, "X-Program-Id": program, "X-Session-Id": program, "X-Token-Budget": BUDGET,
                  "X-Token-Usage": f"500,{MOST}", "X-Program-Deadline-Ms": int(left_s * 1000), "X-Model": "m"}
        if previous:
            fields["X-Previous-Turn"] = previous
        node = random.choice([node for node in case.nodes if node.zone == zone])
        answer, kept = await client.attempt(node.ip, "POST", "/pufi791/4b", fields, input)
        if kept:
            client.wire.reset(kept[1])
        tokens = answer.body.count(b"data: ") * TOKENS_PER_EVENT
        handed[program] = handed.get(program, 0) + tokens
        return id, answer

    async def turn(program, input, previous, zone, aim):
        """A turn with its tries: two client attempts each, sent again from its start at most twice."""
        tries = []
        for _ in range(3):
            for _ in range(2):
                sent = case.now()
                if sent >= aim:
                    return None, tries
                id, answer = await attempt(program, input, previous, zone, aim - sent)
                tries.append((f"{sent:.2f}", answer.status, id in arrived))
                if answer.status == 200 and answer.complete:
                    return id, tries
                if answer.status in (400, 401, 402, 403, 404, 413):
                    return None, tries
                await asyncio.sleep(min(float(answer.fields.get("retry-after", 0)), (aim - case.now()) / 3))
            await asyncio.sleep(random.uniform(0.1, 0.4))
        return None, tries

    async def program():
        """One program of eight turns; its budget holds the most that eight turns can generate."""
        name, aim, previous = client.new_id(), case.now() + AIM_S, ""
        for number in range(1, TURNS + 1):
            sent = case.now()
            previous, tries = await turn(name, f"turn {number} of {name}\n".encode(), previous, zones[0], aim)
            if previous is None:
                case.note("program", name, "failed at turn", number, tries, "aim", f"{aim:.2f}", "calm from",
                          f"{calm_from:.2f}")
                return name, number, tries if sent >= calm_from else []
            await asyncio.sleep(PAUSE_S)
        case.note("program", name, "ended whole")
        return name, None, []

    async def kill():
        nonlocal calm_from
        # Between the first turns and the second ones.
        await asyncio.sleep(TURN_S + 0.25)
        victim = next(node for node in case.nodes if node.settings["platform"]["address"].startswith(last_writer[-1] + ":"))
        case.note("last to write under a condition:", victim.name)
        if case.trouble:
            victim.send(signal.SIGKILL)
            await asyncio.sleep(system.RESTART_DELAY_S + 0.2)
            calm_from = case.now() + CONTACT_S

    ends, _ = await asyncio.gather(asyncio.gather(*(program() for _ in range(PROGRAMS))), kill())
    lost = [each for each in ends if len(each[2]) >= 5 and not any(reached for _, _, reached in each[2])]
    # Meanwhile first turns reach workers, which are nearly idle.
    firsts = await asyncio.gather(*(turn(client.new_id(), b"first\n", "", zones[0], case.now() + AIM_S)
                                    for _ in range(10)))
    served = sum(id is not None for id, _ in firsts)
    case.note("first turns served at the end:", served, "of 10")
    if served < 9:
        raise cases.Unable("first turns reach no worker")
    if lost:
        name, number, tries = lost[0]
        return (f"{len(lost)} of {PROGRAMS} programs: turn {number} reached no worker in {len(tries)} tries {tries}, "
                f"with {handed[name]} of {BUDGET} tokens handed out")
    return ""


cases.main("3", body)
