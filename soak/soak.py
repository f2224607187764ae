"""The fault soak: see scripts/soak."""

import argparse
import asyncio
import collections
import os
import random
import signal
import sys
import tempfile
import time

import plan
from callers import TOKENS_PER_EVENT, Caller
from endpoints import SLOTS, Endpoint
from nodes import ZONES, Node
from rules import Rules
from store import Store

CONFIG_APPLY_S = 2.5
ROLLBACK_SLACK_S = 0.25
# Requests of the calm phase that must be served; callers give up a few while nodes settle.
SERVED_AFTER_RECOVERY = 0.95
LEDGERS = ("ledger-1", "ledger-2", "ledger-3", "ledger-4")


class Soak:
    """One run: a store, endpoints, gateway processes and callers on loopback addresses of their own."""

    def __init__(self, programs, directory, seed, size, lane):
        self.random = random.Random(seed)
        self.rules = Rules(CONFIG_APPLY_S, ROLLBACK_SLACK_S)
        self.rules.in_touch = lambda name, at: self.node(name).in_touch(at)
        self.programs = programs
        self.directory = directory
        self.size = size
        self.lane = lane
        self.store = Store(random.Random(seed + 1))
        self.nodes = []
        self.endpoints = []
        self.callers = []
        self.version = 0
        self.ledger = {"read": 0, "lodge": 1}
        self.outcomes = collections.Counter()
        self.chains = []
        self.calm = collections.Counter()
        self.phase_ends = plan.WARM_UP_S + plan.PLANNED_S
        self.tasks = set()

    def ip(self, last):
        return f"127.{40 + self.lane}.{last // 250}.{last % 250 + 1}"

    def node(self, name):
        return next(node for node in self.nodes if node.name == name)

    # The world.

    async def start(self):
        await self.store.start(self.ip(0), 7000)
        self.configure()
        number = 0
        for service, engine, count in [("engines", True, 4)] + [(name, False, 2) for name in LEDGERS]:
            for index in range(count):
                number += 1
                zone = list(ZONES)[index % len(ZONES)]
                endpoint = Endpoint(self.rules, self.store, self.random, f"e{number}", service, zone, engine)
                self.endpoints.append(endpoint)
                await endpoint.start(self.ip(100 + number), 7301)
        for index in range(self.size):
            zone = list(ZONES)[index % len(ZONES)]
            # Neighbouring nodes begin with different builds.
            first = index // len(ZONES) % len(self.programs)
            programs = self.programs[first:] + self.programs[:first]
            node = Node(programs, self.directory, f"n{index}", zone, self.ip(10 + index), (self.ip(0), 7000))
            self.nodes.append(node)
            await node.start(self.ip(60 + index))
        for index in range(self.size * 5):
            zone = list(ZONES)[index % len(ZONES)]
            self.callers.append(Caller(self, random.Random(self.random.random()), f"c{index}", zone))
        self.began = time.monotonic()

    def configure(self):
        self.version += self.random.randint(1, 5)
        common = {"host": "soak.example", "timeoutMs": 5000, "targetLatencyMs": 300, "targetGapMs": 250, "priority": 1}
        stream = common | {"kind": "streaming", "service": "engines", "sticky": True}
        plain = [("read", "idempotent"), ("lodge", "non_idempotent")]
        routes = [
            stream | {"name": "chat", "pathPrefix": "/chat/", "maxAttempts": 2, "retainContext": True, "retentionS": 60},
            stream | {"name": "brief", "pathPrefix": "/brief/", "maxAttempts": 2, "resumable": True}]
        for name, kind in plain:
            routes.append(common | {"name": name, "pathPrefix": f"/{name}/", "kind": kind, "maxAttempts": 2,
                                    "service": LEDGERS[self.ledger[name]]})
        engine = {"slots": SLOTS, "kvCapacityTokens": 200000, "tokensPerEvent": TOKENS_PER_EVENT}
        services = [{"name": name, "healthPath": "/health", "maxConns": 200} for name in LEDGERS]
        services.append({"name": "engines", "healthPath": "/health", "maxConns": 200, "engine": engine})
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        self.store.put_json("op", "config", {"version": self.version, "routes": routes, "services": services,
                                             "limits": limits})

    def note(self, route, outcome):
        self.outcomes[(route, outcome.status if outcome.complete or not outcome.status else "cut")] += 1
        if self.elapsed() > self.end_s - plan.CALM_S:
            self.calm["served" if outcome.status in (200, 402) and outcome.complete else "failed"] += 1

    def elapsed(self):
        return time.monotonic() - self.began

    def planned_only(self, sent_at):
        """Whether nothing but planned work happened from the time to now."""
        return sent_at - self.began > plan.WARM_UP_S and self.elapsed() < self.phase_ends

    # The plan.

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def all_troubled(self):
        for node in self.nodes:
            node.troubled()

    async def play(self, step):
        node = self.nodes[step.target % len(self.nodes)]
        endpoint = self.endpoints[step.target % len(self.endpoints)]
        if step.kind == "store":
            await self.store_mode(step)
        elif step.kind == "forget":
            self.store.forget()
        elif step.kind == "freeze":
            await node.freeze(step.for_s)
        elif step.kind == "kill":
            await node.kill()
        elif step.kind == "stop":
            await self.stop(node)
        elif step.kind == "reload":
            node.write_settings()
            node.send(signal.SIGHUP)
        elif step.kind == "edit":
            node.write_settings()
        elif step.kind == "move":
            self.move(("read", "lodge")[step.target])
        elif step.kind == "endpoint":
            endpoint.fault = step.how
            await asyncio.sleep(step.for_s)
            endpoint.fault = "none"
        elif step.kind == "service":
            await self.fail_service(LEDGERS[self.ledger["lodge"]], step)
        elif step.kind == "crash":
            await endpoint.crash()
            await asyncio.sleep(step.for_s)
            await endpoint.revive()
        elif step.kind == "drain":
            endpoint.state = "draining"
            await asyncio.sleep(step.for_s)
            endpoint.state = "ready"
        else:
            await self.play_link(step, node, endpoint)

    async def store_mode(self, step):
        self.store.mode = step.how
        self.all_troubled()
        await asyncio.sleep(step.for_s)
        self.all_troubled()
        self.store.mode = "ok"

    async def fail_service(self, service, step):
        """Fails all endpoints of the service, and leaves those alone that another fault has changed meanwhile."""
        endpoints = [endpoint for endpoint in self.endpoints if endpoint.service == service]
        for endpoint in endpoints:
            endpoint.fault = step.how
        await asyncio.sleep(step.for_s)
        for endpoint in endpoints:
            if endpoint.fault == step.how:
                endpoint.fault = "none"

    async def play_link(self, step, node, endpoint):
        name = step.how if step.kind in ("reset", "silence") else step.kind.removesuffix("_link")
        link = {"store": node.to_store, "caller": node.from_callers, "endpoint": endpoint.link}[name]
        node.troubled()
        if step.kind == "reset":
            link.reset()
        elif step.kind == "silence":
            link.silence()
        else:
            link.mode = step.how
            await asyncio.sleep(step.for_s)
            link.mode = "ok"
        node.troubled()

    async def stop(self, node):
        if not node.running:
            return
        status = await node.stop()
        if status != 0 and self.elapsed() < self.phase_ends:
            self.rules.broken("DRAIN", f"{node.name} ended with {status} after SIGTERM")

    def move(self, route):
        """Moves the route to a service that it never had."""
        before = LEDGERS[self.ledger[route]]
        if self.ledger[route] + 2 >= len(LEDGERS):
            return
        self.ledger[route] += 2
        self.configure()
        self.rules.moved(route, before, LEDGERS[self.ledger[route]])

    async def watch(self, node):
        """Starts the node again whenever it ended, as the platform does."""
        while True:
            await node.process.wait()
            if node.process.returncode not in (0, -signal.SIGKILL):
                self.rules.broken("FAULT", f"{node.name} ended by itself with {node.process.returncode}")
            await asyncio.sleep(0.3)
            await node.launch()

    async def run_callers(self, caller, end):
        number = 0
        while time.monotonic() < end:
            number += 1
            self.chains.append(await caller.program(number))
            await asyncio.sleep(self.random.uniform(0, 0.2))

    async def continue_chains(self):
        """Continues conversations from before the final fault: their turns must still be known."""
        kept = [entry for entry in self.chains if entry[1]][-12:]
        for index, (program, chain, budget) in enumerate(kept):
            caller = self.callers[index % len(self.callers)]
            outcome = await caller.turn(f"{program}.again", chain, "and then\n", budget * 2)
            if not outcome.complete or outcome.status not in (200, 402):
                self.rules.broken("RECOVER", f"{program} was not continued, status {outcome.status}")

    async def run(self):
        await self.start()
        steps = plan.make(self.random)
        troubles_end = plan.WARM_UP_S + plan.PLANNED_S + plan.TROUBLE_S
        self.end_s = troubles_end + plan.RECOVERY_S + plan.CALM_S
        for node in self.nodes:
            self.spawn(self.watch(node))
        users = [asyncio.create_task(self.run_callers(caller, self.began + self.end_s)) for caller in self.callers]
        for step in steps:
            await asyncio.sleep(max(0, step.at - self.elapsed()))
            self.spawn(self.play(step))
        await asyncio.sleep(max(0, troubles_end - self.elapsed()))
        await asyncio.gather(*(node.kill() for node in self.nodes))
        await asyncio.sleep(plan.RECOVERY_S)
        await self.continue_chains()
        await asyncio.gather(*users)
        self.verdict(steps)

    def verdict(self, steps):
        total = sum(self.calm.values())
        if self.calm["served"] < SERVED_AFTER_RECOVERY * total:
            self.rules.broken("RECOVER", f"{self.calm['served']} of {total} requests were served after the final fault")
        answers = " ".join(f"{route}:{status}={count}" for (route, status), count in sorted(self.outcomes.items(), key=str))
        print(f"faults={len(steps)} runs={self.rules.runs} answers={self.rules.answers} calm={self.calm['served']}/{total} {answers}")

    async def end(self):
        for task in list(self.tasks):
            task.cancel()
        for node in self.nodes:
            if node.running:
                node.process.kill()
                await node.process.wait()
        links = [each for node in self.nodes for each in (node.to_store, node.from_callers)]
        for each in [self.store, *links, *self.endpoints, *(endpoint.link for endpoint in self.endpoints)]:
            each.server.close()


async def run_seed(arguments, seed):
    with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
        directory = temporary
        if arguments.logs:
            directory = os.path.join(arguments.logs, str(seed))
            os.makedirs(directory, exist_ok=True)
        programs = [os.path.abspath(program) for program in [arguments.program, *arguments.beside]]
        soak = Soak(programs, directory, seed, arguments.nodes, arguments.lane)
        try:
            await soak.run()
        finally:
            await soak.end()
            # The stand-ins' open connections end with the loop; asyncio reports each of them as cancelled.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    for line in soak.rules.violations[:20]:
        print(f"seed {seed} broken {line}")
    print(f"seed {seed} {'passed' if not soak.rules.violations else 'FAILED'}", flush=True)
    return not soak.rules.violations


def main():
    parser = argparse.ArgumentParser(prog="scripts/soak", description="Runs real gateways under faults and checks the rules.")
    parser.add_argument("--program", default="build/lagoontiller", help="the program that is run")
    parser.add_argument("--beside", action="append", default=[], metavar="FILE",
                        help="another build of the program: nodes run the builds in turn, and change them at each start")
    parser.add_argument("--seeds", default="", help="seeds with commas, or FIRST-LAST; default: a fresh one")
    parser.add_argument("--nodes", type=int, default=4, help="gateway processes")
    parser.add_argument("--lane", type=int, default=0, help="0 to 80: another range of addresses, for runs side by side")
    parser.add_argument("--logs", help="folder that keeps the logs of the gateways, one folder per seed")
    arguments = parser.parse_args()
    if "-" in arguments.seeds:
        first, last = arguments.seeds.split("-")
        seeds = range(int(first), int(last) + 1)
    else:
        seeds = [int(seed) for seed in arguments.seeds.split(",") if seed] or [random.SystemRandom().randrange(1, 10**6)]
    passed = [asyncio.run(run_seed(arguments, seed)) for seed in seeds]
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
