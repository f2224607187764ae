"""Fault-injection soak test of the gateway; see scripts/soak."""

import argparse
import asyncio
import collections
import os
import random
import signal
import sys
import tempfile
import time

import accounts
import plan
from account_clients import AccountClients
from answers import Lies
from callers import TOKENS_PER_EVENT, Caller
from endpoints import SLOTS, Endpoint
from nodes import ZONES, Node
from rules import Rules
from store import Store

NEXT_SERVICE = {"ledger-1": "ledger-3", "ledger-2": "ledger-4", "engines": "engines-2"}
BRIEFS_AMONG_LIES = 5
CONFIG_APPLY_S = 2.5
# In every third seed, all endpoints end their sound responses with the connection all the time.
UNFRAMED_SEEDS = 3
ROLLBACK_SLACK_S = 0.25
# Share of the requests of the calm phase that must be served; callers give up a few while nodes recover.
SERVED_AFTER_RECOVERY = 0.95
# Time in which a node without paths to endpoints has to find other ways.
STRANDED_CONTACT_S = 1.0
ENGINE_SERVICES = ("engines", "engines-2")
PLAIN_SERVICES = ("ledger-1", "ledger-2", "ledger-3", "ledger-4")


class Soak:
    """One run: a store, endpoints, gateway processes and callers on loopback addresses of their own."""

    def __init__(self, programs, directory, seed, node_count, lane, until):
        self.random = random.Random(seed)
        self.accounts = accounts.Accounts(seed) if seed >= accounts.FIRST_SEED else None
        self.rules = Rules(CONFIG_APPLY_S, ROLLBACK_SLACK_S, self.accounts)
        self.rules.had_store_contact = lambda name, at: self.node(name).had_store_contact(at)
        self.programs = programs
        self.directory = directory
        self.node_count = node_count
        self.lane = lane
        self.until = until
        self.store = Store(random.Random(seed + 1))
        self.lies = Lies(self.random)
        self.unframed = seed % UNFRAMED_SEEDS == 0
        self.nodes = []
        self.endpoints = []
        self.callers = []
        self.version = 0
        self.services = {"read": "ledger-1", "lodge": "ledger-2", "brief": "engines"}
        self.outcomes = collections.Counter()
        self.chains = []
        self.calm = collections.Counter()
        self.first_tries = collections.Counter()
        self.planned_phase_end_s = plan.WARM_UP_S + plan.PLANNED_S
        self.account_clients = AccountClients(self, seed) if self.accounts else None
        self.tasks = set()
        self.longest_pause_s = 0.0

    def ip(self, last):
        return f"127.{40 + self.lane}.{last // 250}.{last % 250 + 1}"

    def node(self, name):
        return next(node for node in self.nodes if node.name == name)

    # Set-up.

    async def start(self):
        await self.store.start(self.ip(0), 7000)
        self.store.endpoint_address = self.endpoint_address
        self.publish_configuration()
        number = 0
        for service, engine, count in ([(name, True, 4) for name in ENGINE_SERVICES]
                                       + [(name, False, 2) for name in PLAIN_SERVICES]):
            for index in range(count):
                number += 1
                zone = list(ZONES)[index % len(ZONES)]
                version = str(1 + index // len(ZONES))
                endpoint = Endpoint(self.rules, self.store, self.lies, self.random, f"e{number}", service, zone, engine,
                                    version, self.node_count)
                endpoint.unframed = self.unframed
                self.endpoints.append(endpoint)
                await endpoint.start(self.ip(100 + number), 7301)
        for index in range(self.node_count):
            zone = list(ZONES)[index % len(ZONES)]
            # Adjacent nodes of a zone start with different builds.
            first = index // len(ZONES) % len(self.programs)
            programs = self.programs[first:] + self.programs[:first]
            node = Node(programs, self.directory, f"n{index}", zone, self.ip(10 + index), self.ip(60 + index),
                        (self.ip(0), 7000), accounts.SETTINGS if self.accounts else "")
            self.nodes.append(node)
            await node.start()
        for index in range(self.node_count * 5):
            zone = list(ZONES)[index % len(ZONES)]
            self.callers.append(Caller(self, random.Random(self.random.random()), f"c{index}", zone, self.caller_key(index)))
        self.started_at = time.monotonic()

    def endpoint_address(self, link_ip, name):
        index = next((index for index, node in enumerate(self.nodes) if node.link_ip == link_ip), None)
        endpoint = next((each for each in self.endpoints if each.name == name), None)
        return endpoint.link.address_for(index) if endpoint and index is not None else None

    def caller_of(self, program):
        return next(caller for caller in self.callers if caller.name == program.split(".")[0])

    def caller_key(self, index):
        if not self.accounts:
            return ""
        return list(self.accounts.keys.values())[index % (len(accounts.ACCOUNTS) - 1)]

    def publish_configuration(self):
        self.version += self.random.randint(1, 5)
        common = {"host": "soak.example", "timeoutMs": 5000, "targetLatencyMs": 300, "targetGapMs": 250, "priority": 1}
        stream = common | {"kind": "streaming", "sticky": True}
        plain = [("read", "idempotent"), ("lodge", "non_idempotent")]
        routes = [
            stream | {"name": "chat", "pathPrefix": "/chat/", "maxAttempts": 2, "service": "engines",
                      "retainContext": True, "retentionS": 60},
            stream | {"name": "brief", "pathPrefix": "/brief/", "maxAttempts": 2, "service": self.services["brief"],
                      "resumable": True}]
        for name, kind in plain:
            routes.append(common | {"name": name, "pathPrefix": f"/{name}/", "kind": kind, "maxAttempts": 2,
                                    "service": self.services[name]})
        engine = {"slots": SLOTS, "kvCapacityTokens": 200000, "tokensPerEvent": TOKENS_PER_EVENT}
        services = [{"name": name, "healthPath": "/health", "maxConns": 200} for name in PLAIN_SERVICES]
        services += [{"name": name, "healthPath": "/health", "maxConns": 200, "engine": engine} for name in ENGINE_SERVICES]
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        configuration = {"version": self.version, "routes": routes, "services": services, "limits": limits}
        if self.accounts:
            configuration["tenants"] = self.accounts.tenants()
        self.store.put_json("op", "config", configuration)

    def record_outcome(self, route, outcome):
        self.outcomes[(route, outcome.status if outcome.complete or not outcome.status else "cut")] += 1
        if self.elapsed() > self.end_s - plan.CALM_S:
            self.calm["served" if outcome.status in (200, 402) and outcome.complete else "failed"] += 1

    def elapsed(self):
        return time.monotonic() - self.started_at

    def only_planned_work_since(self, sent_at):
        """Returns whether only planned work has happened since the given time."""
        return sent_at - self.started_at > plan.WARM_UP_S and self.elapsed() < self.planned_phase_end_s

    # Fault injection.

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def mark_all_disturbed(self):
        for node in self.nodes:
            node.mark_disturbed()

    async def apply_step(self, step):
        node = self.nodes[step.target % len(self.nodes)]
        endpoint = self.endpoints[step.target % len(self.endpoints)]
        if step.kind == "store":
            await self.apply_store_mode(step)
        elif step.kind == "forget":
            self.store.drop_history()
        elif step.kind == "freeze":
            await node.freeze(step.duration_s)
        elif step.kind == "kill":
            await node.kill()
        elif step.kind == "stop":
            await self.stop(node)
        elif step.kind == "reload":
            node.write_settings()
            node.send(signal.SIGHUP)
        elif step.kind == "edit":
            node.write_settings()
        elif step.kind == "revocation":
            await self.account_clients.play_revocation(step)
        elif step.kind == "revoke":
            self.account_clients.revoke(accounts.REVOKED_IN_TROUBLE)
        elif step.kind == "move":
            self.move_route(("read", "lodge")[step.target])
        elif step.kind == "leave":
            await endpoint.leave(step.duration_s)
        elif step.kind == "strand":
            await self.strand(step)
        elif step.kind == "endpoint":
            endpoint.fault = step.mode
            await asyncio.sleep(step.duration_s)
            endpoint.fault = "none"
        elif step.kind == "service":
            await self.fail_endpoints(self.endpoints_of(self.services["lodge"]), step.mode, step.duration_s)
        elif step.kind == "streams":
            await self.resume_streams(False)
            await self.resume_streams(True)
            briefs = [caller.send_briefs(BRIEFS_AMONG_LIES) for caller in self.callers]
            await asyncio.gather(self.fail_endpoints(self.endpoints, "lies", step.duration_s), *briefs)
        elif step.kind == "unframed":
            endpoint.unframed = True
            await asyncio.sleep(step.duration_s)
            endpoint.unframed = self.unframed
        elif step.kind in ("crash", "killed"):
            await endpoint.crash(step.kind == "killed")
            await asyncio.sleep(step.duration_s)
            await endpoint.restart()
        elif step.kind == "drain":
            endpoint.state = "draining"
            await asyncio.sleep(step.duration_s)
            endpoint.state = "ready"
        else:
            await self.apply_link_fault(step, node, endpoint)

    async def strand(self, step):
        """Partitions every second node from all endpoints; the others, the store and callers still reach it."""
        indices = [index for index in range(len(self.nodes)) if (index + step.target) % 2 == 0]
        links = [endpoint.link.links[index] for endpoint in self.endpoints for index in indices]
        for index in indices:
            self.nodes[index].stranded_since = time.monotonic()
        await asyncio.gather(*(link.strand(step.mode) for link in links))
        await asyncio.sleep(step.duration_s)
        for index in indices:
            self.nodes[index].note_joined()
        await asyncio.gather(*(link.join_again() for link in links))

    def record_first_try(self, outcome):
        """Counts first tries in the phase of stranded nodes, where no other fault is injected."""
        start = self.planned_phase_end_s + plan.STREAMS_S
        if outcome.request is None or not start < outcome.request.sent_at - self.started_at < start + plan.STRANDED_S:
            return
        node = self.node(outcome.request.node)
        if node.is_stranded(outcome.request.sent_at):
            if node.is_stranded(outcome.request.sent_at, STRANDED_CONTACT_S):
                self.first_tries[("stranded", outcome.complete and outcome.status in (200, 402, 404))] += 1
        else:
            self.first_tries[("others", outcome.complete and outcome.status in (200, 402, 404))] += 1

    def check_stranded(self):
        """Nodes without a path to any endpoint serve their callers through the others."""
        failed, served = self.first_tries[("stranded", False)], self.first_tries[("stranded", True)]
        others = self.first_tries[("others", True)] / max(1, sum(self.first_tries[("others", each)] for each in (True, False)))
        total = failed + served
        if failed > 10 + total / 50 and served < total * others * 2 / 3:
            self.rules.report_violation(
                "RECOVER stranded", f"{served} of {total} first tries were served at nodes without paths to endpoints, "
                f"{others:.2f} of those at the others")

    async def apply_store_mode(self, step):
        self.store.mode = step.mode
        self.mark_all_disturbed()
        await asyncio.sleep(step.duration_s)
        self.mark_all_disturbed()
        self.store.mode = "ok"

    def endpoints_of(self, service):
        return [endpoint for endpoint in self.endpoints if endpoint.service == service]

    @staticmethod
    async def fail_endpoints(endpoints, fault, seconds):
        """Sets the fault at the endpoints, then clears it where no other fault has replaced it."""
        for endpoint in endpoints:
            endpoint.fault = fault
        await asyncio.sleep(seconds)
        for endpoint in endpoints:
            if endpoint.fault == fault:
                endpoint.fault = "none"

    async def resume_streams(self, move):
        """Breaks a stream of every caller, and resumes it, with `move` after the route has moved to another service."""
        endpoints = self.endpoints_of(self.services["brief"])
        for endpoint in endpoints:
            endpoint.fault = "break"
        begun = await asyncio.gather(*(caller.begin_brief("to be resumed") for caller in self.callers))
        for endpoint in endpoints:
            endpoint.fault = "none"
        if move:
            self.move_route("brief")
            await asyncio.sleep(1.0)
        await asyncio.gather(*(caller.resume_brief(each) for caller, each in zip(self.callers, begun)))

    def record_resumption(self, outcome):
        self.outcomes[("resumed", outcome.status if outcome.complete or not outcome.status else "cut")] += 1

    async def apply_link_fault(self, step, node, endpoint):
        name = step.mode if step.kind in ("reset", "silence") else step.kind.removesuffix("_link")
        link = {"store": node.store_link, "caller": node.caller_link, "endpoint": endpoint.link}[name]
        node.mark_disturbed()
        if step.kind == "reset":
            link.reset()
        elif step.kind == "silence":
            link.silence()
        else:
            link.mode = step.mode
            await asyncio.sleep(step.duration_s)
            link.mode = "ok"
        node.mark_disturbed()

    async def stop(self, node):
        if not node.running:
            return
        status = await node.stop()
        if status != 0 and self.elapsed() < self.planned_phase_end_s:
            self.rules.report_violation("DRAIN", f"{node.name} ended with {status} after SIGTERM")

    def move_route(self, route):
        """Moves the route to a service that it has not used before."""
        before = self.services[route]
        if before not in NEXT_SERVICE:
            return
        self.services[route] = NEXT_SERVICE[before]
        self.publish_configuration()
        self.rules.record_route_move(route, before, self.services[route])

    async def restart_on_exit(self, node):
        """Restarts the node whenever it exits, as the platform does."""
        while True:
            await node.process.wait()
            if node.process.returncode not in (0, -signal.SIGKILL):
                self.rules.report_violation("FAULT", f"{node.name} ended by itself with {node.process.returncode}")
            await asyncio.sleep(0.3)
            await node.launch()

    async def run_caller(self, caller):
        number = 0
        while self.elapsed() < self.callers_end_s:
            number += 1
            self.chains.append(await caller.run_program(number))
            await asyncio.sleep(self.random.uniform(0, 0.2))

    async def start_crowd(self, client, at_s):
        await asyncio.sleep(max(0, at_s - self.elapsed()))
        await self.account_clients.run_crowd(client)

    async def continue_conversations(self):
        """Continues conversations from before the final fault; their turns must still be stored."""
        recent = [entry for entry in self.chains if entry[1]][-12:]
        for index, (program, chain, budget) in enumerate(recent):
            # Turns are known to the account of their program only.
            candidates = [caller for caller in self.callers if caller.key == self.caller_of(program).key]
            caller = candidates[index % len(candidates)]
            outcome = await caller.run_turn(f"{program}.again", chain, "and then\n", budget * 2)
            if not outcome.complete or outcome.status not in (200, 402):
                self.rules.report_violation("RECOVER", f"{program} was not continued, status {outcome.status}")

    async def measure_pauses(self):
        """Measures for how long this process did not run its tasks, in which callers, links and endpoints stand still."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.1)
            self.longest_pause_s = max(self.longest_pause_s, time.monotonic() - before - 0.1)

    async def run_until_broken(self):
        """Plays the run, and ends it early once the rule `until` is broken."""
        run = asyncio.create_task(self.run())
        while not run.done() and not (self.until and any(line.startswith(self.until) for line in self.rules.violations)):
            await asyncio.wait([run], timeout=0.2)
        if run.done():
            run.result()
        run.cancel()
        # asyncio.wait_for can lose a cancellation, so that a caller would go on until the planned end.
        self.callers_end_s = 0.0

    async def run(self):
        await self.start()
        steps = plan.make(self.random, bool(self.accounts))
        faults_start_s = plan.faults_start_s(bool(self.accounts))
        faults_end_s = faults_start_s + plan.FAULTS_S
        self.end_s = self.callers_end_s = faults_end_s + plan.RECOVERY_S + plan.LIMIT_S + plan.CALM_S
        for node in self.nodes:
            self.spawn(self.restart_on_exit(node))
        self.spawn(self.measure_pauses())
        caller_tasks = [asyncio.create_task(self.run_caller(caller)) for caller in self.callers]
        if self.accounts:
            caller_tasks += [asyncio.create_task(self.account_clients.run_stranger(client))
                             for client in self.account_clients.strangers]
            caller_tasks += [asyncio.create_task(self.start_crowd(client, faults_start_s))
                             for client in self.account_clients.crowd]
        for step in steps:
            await asyncio.sleep(max(0, step.at_s - self.elapsed()))
            self.spawn(self.apply_step(step))
        await asyncio.sleep(max(0, faults_end_s - self.elapsed()))
        await asyncio.gather(*(node.kill() for node in self.nodes))
        self.endpoints[0].limit_per_s = 1.0
        await asyncio.sleep(plan.RECOVERY_S)
        await self.continue_conversations()
        if self.accounts:
            await self.account_clients.check_metrics()
        await asyncio.gather(*caller_tasks)
        self.check_and_summarize(steps)

    def check_and_summarize(self, steps):
        self.check_stranded()
        total = sum(self.calm.values())
        if self.calm["served"] < SERVED_AFTER_RECOVERY * total:
            self.rules.report_violation(
                "RECOVER", f"{self.calm['served']} of {total} requests were served after the final fault")
        answers = " ".join(f"{route}:{status}={count}" for (route, status), count in sorted(self.outcomes.items(), key=str))
        print(f"faults={len(steps)} longest_pause_ms={self.longest_pause_s * 1000:.0f} runs={self.rules.runs} "
              f"answers={self.rules.answers} limit_judged={self.rules.limit_judged} calm={self.calm['served']}/{total} "
              f"stranded={self.first_tries[('stranded', True)]}/{sum(self.first_tries[('stranded', each)] for each in (True, False))} {answers}")
        if self.accounts:
            self.account_clients.check_coverage()
            print(f"crowd={self.rules.most_crowd_runs} of {self.accounts.quota_per_window():.1f} in a window "
                  + " ".join(f"{text}:{status}={count}" for (text, status), count
                             in sorted(self.account_clients.outcomes.items())))

    async def shut_down(self):
        for task in list(self.tasks):
            task.cancel()
        for node in self.nodes:
            if node.running:
                node.process.kill()
                await node.process.wait()
        links = [each for node in self.nodes for each in (node.store_link, node.caller_link)]
        for each in [self.store, *links, *self.endpoints]:
            each.server.close()
        for endpoint in self.endpoints:
            endpoint.link.close()


async def run_seed(arguments, seed):
    with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
        directory = temporary
        if arguments.logs:
            directory = os.path.join(arguments.logs, str(seed))
            os.makedirs(directory, exist_ok=True)
        programs = [os.path.abspath(program) for program in [arguments.program, *arguments.beside]]
        soak = Soak(programs, directory, seed, arguments.nodes, arguments.lane, arguments.until)
        try:
            await soak.run_until_broken()
        finally:
            await soak.shut_down()
            # The stand-ins' open connections end with the loop; asyncio reports each of them as cancelled.
            asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        if soak.accounts:
            soak.account_clients.check_logs(directory)
    forms = collections.Counter(line.split(":", 1)[0] for line in soak.rules.violations)
    print(f"seed {seed} " + " ".join(f"{form}={count}" for form, count in sorted(forms.items())))
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
    parser.add_argument("--until", default="", metavar="RULE", help="end a run once this rule is broken")
    parser.add_argument("--logs", help="folder that keeps the logs of the gateways, one folder per seed")
    arguments = parser.parse_args()
    if "-" in arguments.seeds:
        first, last = arguments.seeds.split("-")
        seeds = range(int(first), int(last) + 1)
    else:
        seeds = [int(seed) for seed in arguments.seeds.split(",") if seed] or [
            random.SystemRandom().randrange(1, 2 * accounts.FIRST_SEED)]
    # Inherited by the nodes: the default action of a SIGHUP would end a process that has not yet installed its handler.
    # A node unblocks the signal itself, so that none is lost.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    passed = [asyncio.run(run_seed(arguments, seed)) for seed in seeds]
    print(f"{sum(passed)} passed, {len(passed) - sum(passed)} failed")
    sys.exit(0 if all(passed) else 1)


if __name__ == "__main__":
    main()
