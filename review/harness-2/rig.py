"""Starts gateways with the command and the settings template of the deploy file, workers and a store on loopback
addresses, records what happens, and ends all of it. Used by the scripts of review/6 to review/10."""

import asyncio
import json
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import uuid

import wire
from link import Link
from store import Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HERE = os.path.dirname(os.path.abspath(__file__))
HOST = "review.example"
# The small deployment deepa-logs (SYSTEM.md, sites/deepa-logs.toml).
ZONES = {"ernakulam-z1": "ernakulam", "trivandrum-z1": "trivandrum", "calicut-z1": "calicut"}
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4.2, "drainMs": 2500,
          "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250, "outerMs": 6000,
          "recoveryS": 12, "passMs": 250, "retryAfterS": 0, "deadlineS": 10, "settleMs": 1000, "ttl_max_s": 5}
BEATS_UNTIL_DROPPED_S = 3 * 1.2


def render(template, scope):
    """Fills in the placeholders and sections of DEPLOY.md that the settings template uses."""

    def value_of(name, scopes):
        for each in reversed(scopes):
            value = each
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit():
                    value = value[int(part)]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def fill(text, scopes, key, entry):
        pattern = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
        out, at = [], 0
        for match in pattern.finditer(text):
            out.append(place(text[at:match.start()], scopes, key, entry))
            value = value_of(match[2], scopes)
            if match[1] == "^":
                if not value:
                    out.append(fill(match[3], scopes, key, entry))
            elif isinstance(value, dict):
                for name, each in value.items():
                    out.append(fill(match[3], scopes + [each if isinstance(each, dict) else {}], name, each))
            elif value is not None and value is not False:
                out.append(fill(match[3], scopes, None, value))
            at = match.end()
        out.append(place(text[at:], scopes, key, entry))
        return "".join(out)

    def place(text, scopes, key, entry):
        def one(match):
            name = match[1]
            value = key if name == "@" else entry if name == "." else value_of(name, scopes)
            return "" if value is None else str(value)

        return re.sub(r"\{\{([^}#^/]+)\}\}", one, text)

    return fill(template, [scope], None, None)


class Process:
    """One process of the test, with its log."""

    def __init__(self, rig, name, command, environment=None, on_line=None):
        self.rig, self.name, self.command, self.environment, self.on_line = rig, name, command, environment, on_line
        self.process = None

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=self.environment, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT, limit=1 << 20)
        self.reader = asyncio.create_task(self.read())

    async def read(self):
        while line := await self.process.stdout.readline():
            if self.on_line:
                self.on_line(line.decode("latin-1").rstrip())
        await self.process.wait()

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()


class Answer:
    """What a client got; status 0 without a whole head."""

    def __init__(self, id):
        self.id = id
        self.status = 0
        self.whole = False
        self.body = b""
        self.fields = {}
        self.events = 0
        self.error = ""


class Rig:
    def __init__(self, folder):
        self.folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.started = time.monotonic()
        self.temporary = tempfile.TemporaryDirectory()
        self.random = random.Random()
        self.store = Store()
        self.gateways, self.workers, self.processes, self.links = {}, {}, [], {}
        self.runs, self.ended, self.lines = {}, set(), []
        self.ip_base = self.find_addresses()

    # Addresses: a /24 of 127/8 in which the ports are free.

    def find_addresses(self):
        while True:
            base = f"127.{self.random.randint(60, 250)}.{self.random.randint(1, 250)}"
            try:
                for last in (1, 10, 20):
                    with socket.socket() as probe:
                        probe.bind((f"{base}.{last}", 7400))
                return base
            except OSError:
                continue

    def ip(self, last):
        return f"{self.ip_base}.{last}"

    def record(self, event, **details):
        line = f"{time.monotonic() - self.started:8.3f}  {event}  " + "  ".join(f"{k}={v}" for k, v in details.items())
        self.record_file.write(line.rstrip() + "\n")
        self.record_file.flush()

    # Set-up.

    async def start_store(self, configuration):
        self.store_address = f"{self.ip(1)}:7400"
        await self.store.start(self.ip(1), 7400)
        self.store.put("op", "config", configuration)

    def gateway_settings(self, name, zone, ip, seeds):
        return {"nodeName": name, "role": "gateway", "machineClass": "edge", "serves": ["edge", "registry"], "ip": ip,
                "zone": zone, "region": ZONES[zone], "portRange": [7480, 7495], "seeds": seeds, "bootstrap": True,
                "zones": ZONES, "bounds": BOUNDS, "heartbeatMs": 1200,
                "listen": {"front": f"{ip}:7449", "ready": f"{ip}:7441", "directory": f"{ip}:7443"},
                "limits": {"cpuShare": 0.5, "cores": 1, "memoryMb": 120, "maxFds": 8200, "linkMbps": 1000.0},
                "platform": {"address": self.store_address, "form": "table", "rowBytes": 65536}}

    async def start_gateways(self, per_zone=1):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["gateway"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        if not os.access(os.path.join(ROOT, role["run"].split()[0]), os.X_OK):
            raise SetupFailed("the build of the deploy file is missing")
        last = 10
        for zone in ZONES:
            for number in range(per_zone):
                name = f"edge-{zone}-{number + 1}"
                ip = self.ip(last)
                last += 1
                path = os.path.join(self.temporary.name, name + ".settings")
                with open(path, "w", encoding="utf-8") as file:
                    file.write(render(template, self.gateway_settings(name, zone, ip, [])))
                log = open(os.path.join(self.temporary.name, name + ".log"), "w", encoding="utf-8")
                gateway = Process(self, name, role["run"].split(),
                                  {"PATH": os.environ["PATH"], "HOME": self.temporary.name, "LANG": "C.UTF-8",
                                   "LAGOONTILLER_BOOT": path},
                                  lambda line, log=log: log.write(line + "\n"))
                gateway.zone, gateway.ip, gateway.front = zone, ip, f"{ip}:7449"
                self.gateways[name] = gateway
                self.processes.append(gateway)
                await gateway.start()
        end = time.monotonic() + 15
        for gateway in self.gateways.values():
            while not await self.is_ready(gateway):
                if time.monotonic() > end:
                    raise SetupFailed(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)
            self.record("gateway ready", name=gateway.name, front=gateway.front)

    async def is_ready(self, gateway):
        try:
            answer = await wire.call(f"{gateway.ip}:7441", "GET", "/v1/ready", timeout=1)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, wire.Lost):
            return False

    async def start_worker(self, service, zone, last, slots=6, extra=0, linked=False):
        """Starts a worker under a new id at address number `last`, behind a link that can be cut if `linked`."""
        id = "i-" + uuid.uuid4().hex[:8]
        address = f"{self.ip(last)}:7500"
        command = [sys.executable, os.path.join(HERE, "worker.py"), "--id", id, "--service", service, "--zone", zone,
                   "--address", address, "--store", self.store_address, "--slots", str(slots), "--extra", str(extra)]
        if linked:
            command += ["--listen", f"{self.ip(last)}:7501"]
            if last not in self.links:
                self.links[last] = Link((self.ip(last), 7500), (self.ip(last), 7501))
                await self.links[last].start()
        started = asyncio.Event()

        def line_read(text):
            try:
                entry = json.loads(text)
            except ValueError:
                self.record("worker says", worker=id, text=text)
                return
            if entry["what"] == "started":
                started.set()
            elif entry["what"] == "run":
                self.runs.setdefault(entry["id"], []).append(entry["worker"])
            elif entry["what"] == "ended":
                self.ended.add(entry["id"])
            self.lines.append(entry)
            self.record("worker " + entry["what"], **{k: v for k, v in entry.items() if k not in ("what", "at")})

        worker = Process(self, id, command, None, line_read)
        worker.address, worker.last, worker.service, worker.zone = address, last, service, zone
        self.workers[id] = worker
        self.processes.append(worker)
        await worker.start()
        try:
            await asyncio.wait_for(started.wait(), 10)
        except asyncio.TimeoutError as error:
            raise SetupFailed("a worker did not start") from error
        return worker

    async def crash_worker(self, worker):
        """Kills the worker's process; its entry goes after three heartbeats of silence, as the platform does it."""
        self.record("kill worker", worker=worker.name)
        await worker.kill()
        asyncio.get_running_loop().call_later(BEATS_UNTIL_DROPPED_S, self.drop_entry, worker.name)

    def drop_entry(self, id):
        self.record("entry removed", worker=id)
        self.store.drop("servers", id)

    # Clients.

    async def lookup(self, zone, asked):
        """Asks a gateway where to connect; returns the addresses."""
        answer = await wire.call(f"{asked.ip}:7443", "GET", f"/v1/lookup?name={HOST}&region={ZONES[zone]}&zone={zone}",
                                 timeout=1)
        if answer is None or answer.status != 200:
            return []
        return json.loads(answer.body)["addresses"]

    async def send(self, front, method, target, fields, body, deadline_s, quiet=False):
        """One client attempt with its own id on a connection of its own."""
        answer = Answer(uuid.uuid4().hex[:16])
        ip, _, port = front.rpartition(":")
        sent_at = time.monotonic()
        if not quiet:
            self.record("client sends", id=answer.id, to=front, target=target, body=body.decode())
        writer = None
        try:
            async with asyncio.timeout(deadline_s + 1):
                reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
                all_fields = {"Host": HOST, "X-Request-Id": answer.id, "X-Deadline-Ms": int(deadline_s * 1000)} | fields
                writer.write(wire.request(method, target, all_fields, body))
                head = await wire.read_head(reader)
                if head is None:
                    answer.error = "closed without an answer"
                else:
                    answer.status, answer.fields = head.status, head.fields
                    async for piece in wire.read_pieces(reader, head):
                        answer.body += piece
                        answer.events = answer.body.count(b"\n\n")
                    answer.whole = True
        except ConnectionRefusedError:
            answer.error = "connection refused"
        except (wire.Lost, OSError) as error:
            answer.error = str(error) or type(error).__name__
        except TimeoutError:
            answer.error = "no whole answer by the deadline"
        finally:
            if writer:
                writer.close()
        answer.took = time.monotonic() - sent_at
        if not quiet or answer.status not in (200, 503) or not answer.whole:
            self.record("client got", id=answer.id, status=answer.status, whole=answer.whole, bytes=len(answer.body),
                        events=answer.events, took=f"{answer.took:.3f}", error=answer.error or "-",
                        retry_after=answer.fields.get("retry-after", "-"))
        return answer

    # End.

    async def stop(self):
        for link in self.links.values():
            link.stop()
        for process in self.processes:
            if process.process and process.process.returncode is None:
                await process.kill()
        if os.environ.get("KEEP_LOGS"):
            for name in self.gateways:
                with open(os.path.join(self.temporary.name, name + ".log"), encoding="utf-8") as file:
                    with open(os.path.join(os.environ["KEEP_LOGS"], name + ".log"), "w", encoding="utf-8") as copy:
                        copy.write(file.read())
        self.temporary.cleanup()


class SetupFailed(Exception):
    """The case could not run."""


def configuration(routes, services, version=7):
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def main(case, folder):
    """Runs `case(rig)`, which returns the list of broken rules; exits with 0, 1 or 2."""

    async def run():
        rig = Rig(folder)
        try:
            async with asyncio.timeout(110):
                broken = await case(rig)
        except (SetupFailed, TimeoutError, OSError) as error:
            rig.record("could not run", error=repr(error))
            print("could not run:", repr(error))
            return 2
        finally:
            await rig.stop()
        for text in broken:
            rig.record("RULE BROKEN", what=text)
            print("rule broken:", text)
        rig.record("result", broken=len(broken))
        print("trouble:", "on" if rig.trouble else "off", "broken:", len(broken))
        return 1 if broken else 0

    sys.exit(asyncio.run(run()))
