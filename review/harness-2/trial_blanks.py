"""A trial, no case (review/REPORT-2.md, entries): some clients write a blank after the value of a header field, which HTTP doesn't count as part of it. Is the turn that they
name found, and do they get the answers of their requests?"""

import asyncio
import json
import os
import random
import sys
import tempfile
import uuid

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import rig as rigs  # noqa: E402
import wire  # noqa: E402

ENGINES, APPLICATION = "helper-llm", "ledger-app"
PROGRAMS = 12
TURNS = 4
COMMON = {"host": rigs.HOST, "timeoutMs": 6000, "targetLatencyMs": 300, "priority": 0}
ROUTES = [
    COMMON | {"name": "fitting-chat", "pathPrefix": "/chat/", "kind": "streaming", "targetGapMs": 250, "maxAttempts": 2,
              "sticky": True, "retainContext": True, "retentionS": 60, "service": ENGINES},
    COMMON | {"name": "cert-lodge", "pathPrefix": "/lodge/", "kind": "non_idempotent", "maxAttempts": 1,
              "service": APPLICATION}]
ENGINE = {"slots": 64, "kvCapacityTokens": 221617, "tokensPerEvent": 2}


async def case(rig):
    await rig.start_store(rigs.configuration(ROUTES, [
        {"name": ENGINES, "healthPath": "/health", "maxConns": 370, "engine": ENGINE},
        {"name": APPLICATION, "healthPath": "/health", "maxConns": 110}]))
    for number, zone in enumerate(rigs.ZONES):
        await rig.start_worker(ENGINES, zone, 30 + number, slots=64)
        await rig.start_worker(APPLICATION, zone, 40 + number)
    await asyncio.sleep(0.3)
    await rig.start_gateways(per_zone=4)
    await asyncio.sleep(1)
    blank = " " if rig.trouble else ""
    broken, unanswered = [], 0

    async def attempt(target, fields, body):
        """One client attempt; returns its id, its status (0 without a whole answer) and the time that it took."""
        id = uuid.uuid4().hex[:16]
        ip, _, port = random.choice(list(rig.gateways.values())).front.rpartition(":")
        started = asyncio.get_running_loop().time()
        rig.record("client sends", id=id, target=target, fields=fields)
        reader, writer = await asyncio.open_connection(ip, int(port))
        status = 0
        try:
            all_fields = {"Host": rigs.HOST, "X-Request-Id": id + fields.pop("blank after id", ""),
                          "X-Deadline-Ms": 6000} | fields
            writer.write(wire.request("POST", target, all_fields, json.dumps(body).encode()))
            answer = await asyncio.wait_for(wire.read_message(reader), 7)
            status = answer.status if answer else 0
        except (wire.Lost, OSError, asyncio.TimeoutError):
            pass
        finally:
            writer.close()
        took = asyncio.get_running_loop().time() - started
        rig.record("client got", id=id, status=status, took=f"{took:.3f}")
        return id, status, took

    async def program(number):
        previous = None
        for _ in range(TURNS):
            fields = {"X-Model": "m", "X-Token-Usage": "40,136", "X-Program-Id": f"p{number}", "X-Session-Id": f"s{number}",
                      "X-Token-Budget": 1088, "X-Program-Deadline-Ms": 20000}
            if previous:
                fields["X-Previous-Turn"] = previous + blank
            id, status, _ = await attempt("/chat/turn", fields, {"events": 17, "gap_ms": 15})
            if previous and status in (404, 410):
                broken.append(f"LOST: a turn of program {number} that names {previous}, which was answered whole, got "
                              f"{status}")
            if status != 200:
                return
            previous = id

    async def lodging(number):
        nonlocal unanswered
        id, status, took = await attempt("/lodge/certificate", {"blank after id": blank}, {"work_ms": 100})
        if id in rig.ended and status != 200:
            unanswered += 1
            rig.record("ran and was not answered", id=id, status=status, took=f"{took:.3f}")

    await asyncio.gather(*[program(number) for number in range(PROGRAMS)], *[lodging(number) for number in range(4)])
    print(f"requests that ran and whose answer was not passed on: {unanswered} of 4")
    return broken


with tempfile.TemporaryDirectory() as folder:
    rigs.main(case, folder)
