"""Two workers crash while turns with the same short input run on both. See claim.txt."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness"))

import case as cases  # noqa: E402
import client  # noqa: E402
import system  # noqa: E402

CONTACT_S = system.BOUNDS["contactMs"] / 1000
WORKERS = 14
CRASHED = 2
DOWN_S = 4.0
CLIENTS = 80
TURN_S = 1.5
TURNS = 9
REPLY = b"yes, please\n"
REPLY_SHARE = 0.6
# 2.4 times the time on idle workers, a pause of half a second a turn included, and the objective.
AIM_S = 2.4 * TURNS * (TURN_S + 0.5) + 0.3
END_S = 28.0


async def body(case):
    route = {"name": "r-talk", "host": client.HOST, "pathPrefix": "/pufi791/", "kind": "streaming",
             "timeoutMs": 6000, "targetLatencyMs": 300, "targetGapMs": 250, "priority": 0, "service": "huvo11a",
             "maxAttempts": 2, "retainContext": True, "retentionS": 60.0, "sticky": True, "resumable": False}
    engine = {"slots": 64, "kvCapacityTokens": 264043, "tokensPerEvent": 2}
    case.configure([route], [{"name": "huvo11a", "healthPath": "/health", "maxConns": 370, "engine": engine}])
    zones = list(system.ZONES)
    await case.add_workers("huvo11a", [zones[number % 3] for number in range(WORKERS)], slots=64, engine=True,
                           work_s=TURN_S)
    arrived = set()
    for worker in case.workers:
        worker.on_run = lambda worker, request: arrived.add(request.fields["x-request-id"])
    await case.add_nodes([zones[number % 3] for number in range(12)])
    await asyncio.sleep(CONTACT_S)
    began = case.now()
    calm_from = began + 3.0 + DOWN_S + CONTACT_S
    firsts, lost, later = [], [], []

    async def turn(program, input, previous, zone, aim):
        """A turn with its tries: two client attempts each, sent again from its start at most twice."""
        tries = []
        for _ in range(3):
            for _ in range(2):
                left_s = aim - case.now()
                if left_s <= 0:
                    return None, tries
                id = client.new_id()
                fields = {"X-Request-Id": id, "X-Program-Id": program, "X-Session-Id": program,
                          "X-Token-Budget": 4000, "X-Token-Usage": "500,136",
                          "X-Program-Deadline-Ms": int(left_s * 1000), "X-Model": "m"}
                if previous:
                    fields["X-Previous-Turn"] = previous
                node = random.choice([node for node in case.nodes if node.zone == zone])
                sent = case.now()
                answer, kept = await client.attempt(node.ip, "POST", "/pufi791/4b", fields, input)
                if kept:
                    client.wire.reset(kept[1])
                tries.append((f"{sent:.2f}", answer.status, id in arrived))
                if answer.status == 200 and answer.complete:
                    return id, tries
                if answer.status in (400, 401, 402, 403, 404, 413):
                    return None, tries
                await asyncio.sleep(min(float(answer.fields.get("retry-after", 0)), 2))
            await asyncio.sleep(random.uniform(0.1, 0.4))
        return None, tries

    async def run_client(zone):
        await asyncio.sleep(random.uniform(0, 1))
        while case.now() < began + END_S:
            program, aim, previous = client.new_id(), case.now() + AIM_S, ""
            for number in range(TURNS):
                common = number > 0 and random.random() < REPLY_SHARE
                input = REPLY if common else f"turn {number} of {program}\n".encode()
                sent = case.now()
                id, tries = await turn(program, input, previous, zone, aim)
                if sent >= calm_from:
                    (firsts if number == 0 else later).append(id is not None)
                    if number > 0 and len(tries) >= 5 and not any(reached for _, _, reached in tries):
                        lost.append((program, number + 1, tries))
                        case.note("LOST", program, "turn", number + 1, "previous", previous, tries)
                if id is None or case.now() > began + END_S:
                    break
                previous = id
                await asyncio.sleep(random.uniform(0, 0.3))

    async def crash():
        await asyncio.sleep(3.0)
        if case.trouble:
            await asyncio.gather(*(worker.crash(DOWN_S) for worker in random.sample(case.workers, CRASHED)))

    await asyncio.gather(crash(), *(run_client(zones[number % 3]) for number in range(CLIENTS)))
    case.note("after the calm began: first turns served", sum(firsts), "of", len(firsts), "- later turns served",
              sum(later), "of", len(later), "- turns that reached no worker in five tries or more:", len(lost))
    if not firsts or sum(firsts) < 0.9 * len(firsts):
        raise cases.Unable("first turns reach no worker")
    if lost:
        program, number, tries = lost[0]
        return (f"{len(lost)} of {len(later)} later turns reached no worker in five tries or more, while {sum(firsts)} "
                f"of {len(firsts)} first turns were served; the first: turn {number} of {program}: {tries}")
    return ""


cases.main("1", body)
