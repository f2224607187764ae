"""The system under review: processes with the command, the settings template and the roles of the deploy file."""

import asyncio
import json
import os
import re
import shlex
import signal
import socket
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
ZONES = {"reykjavik-a": "reykjavik", "akureyri-a": "akureyri", "egilsstadir-a": "egilsstadir"}
BOUNDS = {"seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 5.2, "drainMs": 2500,
          "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2500, "rollbackSlackMs": 250, "outerMs": 6000,
          "recoveryS": 12, "passMs": 250, "retryAfterS": 0, "deadlineS": 10, "settleMs": 1000, "ttl_max_s": 5}
PORTS = {"front": 8149, "ready": 8141, "control": 8144, "directory": 8143}
RESTART_DELAY_S = 0.5


def free_prefix():
    """Returns the first two numbers of loopback addresses on which the ports of the case are free."""
    for second in range(60 + os.getpid() % 60, 250):
        try:
            for port in (*PORTS.values(), 7380, 7395, 8142, 8164):
                with socket.socket() as probe:
                    probe.bind((f"127.{second}.0.1", port))
            return f"127.{second}"
        except OSError:
            continue
    raise OSError("no free loopback addresses")


def render(template, values):
    """Fills in a settings template as DEPLOY.md tells it: values and sections over tables."""

    def look(path, scope):
        if path in (".", "@"):
            return scope[path]
        value = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return value

    def text(value):
        if isinstance(value, list):
            return ",".join(map(str, value))
        return json.dumps(value) if isinstance(value, (dict, bool)) else str(value)

    def fill(part, scope):
        return re.sub(r"\{\{([\w.@]+)\}\}", lambda match: text(look(match[1], scope)), part)

    def section(match):
        return "".join(fill(match[2], {"@": key, ".": value}) for key, value in look(match[1], {}).items())

    return fill(re.sub(r"\{\{#(\w+)\}\}\n?(.*?)\{\{/\1\}\}", section, template, flags=re.S), {})


class Node:
    """One machine: its gateway process is started again after it ends, as the platform does."""

    def __init__(self, folder, name, zone, ip, store, memory_mb=270, note=lambda *parts: None):
        self.name, self.zone, self.ip, self.note = name, zone, ip, note
        self.folder, self.process, self.keep = folder, None, True
        self.on_end = lambda name, status: None
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["gateway"]
        self.settings = {
            "nodeName": name, "role": "gateway", "machineClass": "edge", "serves": ["edge", "registry"], "ip": ip,
            "zone": zone, "region": ZONES[zone], "portRange": [7380, 7395], "zones": ZONES, "bounds": BOUNDS,
            "listen": {key: f"{ip}:{port}" for key, port in PORTS.items()},
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": memory_mb, "maxFds": 8200},
            "platform": {"address": store, "form": "table", "writesPerS": 800, "readsPerS": 2000, "rowBytes": 65536}}

    async def start(self):
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            text = render(file.read(), self.settings)
        path = os.path.join(self.folder, self.name + ".settings")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(os.path.join(self.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *shlex.split(self.role["run"]), cwd=ROOT, stdout=log, stderr=log,
                env=environment | {"LAGOONTILLER_BOOT": path})
        self.note("start", self.name, self.process.pid)
        self.watcher = asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        status = await process.wait()
        self.note("end", self.name, process.pid, "status", status)
        if self.keep:
            self.on_end(self.name, status)
            await asyncio.sleep(RESTART_DELAY_S)
            if self.keep:
                await self.start()

    def send(self, number):
        if self.process.returncode is None:
            self.note("signal", self.name, signal.Signals(number).name)
            self.process.send_signal(number)

    async def stop(self):
        self.keep = False
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()

    async def ready(self):
        import wire
        try:
            reader, writer = await asyncio.open_connection(self.ip, PORTS["ready"])
            writer.write(wire.request("GET", "/v1/ready", {"Host": self.ip}))
            answer = await asyncio.wait_for(wire.read_message(reader), 1)
            wire.reset(writer)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, wire.Lost):
            return False


async def wait_ready(nodes, seconds=15):
    for _ in range(int(seconds * 10)):
        if all([await node.ready() for node in nodes]):
            return
        await asyncio.sleep(0.1)
    raise OSError("the nodes did not become ready")
