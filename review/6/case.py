"""A worker crashes while it is idle and is back under a new id at its address; then a late second copy of its 421 comes
where the answer to the next attempt is expected. Does a request that isn't idempotent run twice, or is it refused though
it runs?"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness-2"))
import rig as rigs  # noqa: E402

SERVICE = "ledger-app"
DOWN_S = 2.0
CYCLES = 8
REQUESTS_BEFORE = 56
# Extra answers are at most this share of the worker's answers (troubles of deepa-logs: garble, extra late, x = 0.03).
EXTRA_SHARE = 0.03
ROUTE = {"name": "cert-lodge", "host": rigs.HOST, "pathPrefix": "/lodge/", "kind": "non_idempotent", "timeoutMs": 6000,
         "targetLatencyMs": 1000, "maxAttempts": 1, "priority": 2, "service": SERVICE}


async def case(rig):
    await rig.start_store(rigs.configuration([ROUTE], [{"name": SERVICE, "healthPath": "/health", "maxConns": 110}]))
    zone = "ernakulam-z1"
    # One worker in each zone; the one in the clients' zone crashes.
    worker = await rig.start_worker(SERVICE, zone, 20)
    for number, other in enumerate(["trivandrum-z1", "calicut-z1"]):
        await rig.start_worker(SERVICE, other, 21 + number)
    await asyncio.sleep(0.3)
    await rig.start_gateways(per_zone=4)
    await asyncio.sleep(1)
    gateway = next(each for each in rig.gateways.values() if each.zone == zone)
    body = json.dumps({"work_ms": 200}).encode()

    async def lodge(quiet=False):
        return await rig.send(gateway.front, "POST", "/lodge/certificate", {}, body, 6.0, quiet)

    def counts():
        """Answers of the worker at the address in question, and the extra ones among them."""
        here = [each for each in rig.lines if each["what"] in ("run", "421", "extra")
                and rig.workers[each["worker"]].last == 20]
        extras = sum(1 for each in here if each["what"] == "extra")
        return len(here) - extras, extras

    answers = []
    for _ in range(CYCLES):
        # Ordinary work, so that an extra answer stays a small share of the answers of the worker.
        for _ in range(REQUESTS_BEFORE // 4):
            answers += await asyncio.gather(*[lodge(True) for _ in range(4)])
        await asyncio.sleep(0.2)
        if rig.trouble:
            await rig.crash_worker(worker)
            await asyncio.sleep(DOWN_S)
            sound, extras = counts()
            worker = await rig.start_worker(SERVICE, zone, 20, extra=int(extras + 1 <= EXTRA_SHARE * sound))
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(0.3)
        # The old entry is still listed: it goes after three heartbeats of silence.
        for _ in range(3):
            answers.append(await lodge())
        await asyncio.sleep(2.4)

    sound, extras = counts()
    rig.record("dose", extra_answers=extras, answers_of_the_worker=sound)
    if extras > EXTRA_SHARE * sound:
        raise rigs.SetupFailed("more extra answers than the dose allows")
    broken = []
    for answer in answers:
        runs = rig.runs.get(answer.id, [])
        if len(runs) > 1:
            broken.append(f"TWICE: request {answer.id} ran at {', '.join(runs)}")
        if answer.status in (503, 429, 408, 421) and runs:
            broken.append(f"REFUSED: request {answer.id} was answered {answer.status} and ran at {', '.join(runs)}")
    return broken


rigs.main(case, os.path.dirname(os.path.abspath(__file__)))
