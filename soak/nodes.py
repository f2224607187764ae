"""Gateway processes of the soak: settings, start, signals, restart."""

import asyncio
import os
import signal
import time

from links import Link

ZONES = {"east-1": "east", "west-1": "west"}
STOP_GRACE_S = 4
STORE_CONTACT_GRACE_S = 4.0

SETTINGS = """[node]
name = {name}
zone = {zone}
region = {region}

{zones}
[listen]
caller_address = {ip}:7101
ready_address = {ip}:7102
entry_address = {ip}:7103
metrics_address = {ip}:7104
peer_address = {ip}:7105

[store]
address = {store}

[limits]
memory_mb = 120
stop_grace_s = {grace}
; {note}
"""


class Node:
    """One VM of the deployment: a gateway process, restarted whenever it exits, and its links."""

    def __init__(self, programs, directory, name, zone, ip, link_ip, store_address, more_settings=""):
        self.programs = programs
        self.directory = directory
        self.name = name
        self.zone = zone
        self.ip = ip
        self.more_settings = more_settings
        self.link_ip = link_ip
        # The store tells the nodes apart by the address from which they are connected.
        self.store_link = Link(store_address, link_ip)
        self.caller_link = Link((ip, 7101))
        self.process = None
        self.incarnation = 0
        self.disturbed_at = 0.0
        self.stranded_since = None
        # Begin and end of each time without a path to endpoints.
        self.stranded_times = []
        self.settings_revision = 0
        self.keep = True

    async def start(self):
        await self.store_link.start(self.link_ip, 7201)
        await self.caller_link.start(self.link_ip, 7202)
        self.write_settings()
        await self.launch()

    def write_settings(self):
        """Writes the settings file with a new comment; no setting changes."""
        self.settings_revision += 1
        zones = "\n".join(f"[zone {zone}]\nregion = {region}\n" for zone, region in ZONES.items())
        text = SETTINGS.format(name=self.name, zone=self.zone, region=ZONES[self.zone], zones=zones, ip=self.ip,
                               store=self.store_link.address, grace=STOP_GRACE_S,
                               note=f"revision {self.settings_revision}") + self.more_settings
        temporary = f"{self.directory}/{self.name}.new"
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(temporary, f"{self.directory}/{self.name}.ini")

    async def launch(self):
        # With several builds each start takes the next one, so that a build also reads what another one has stored.
        program = self.programs[self.incarnation % len(self.programs)]
        self.incarnation += 1
        with open(f"{self.directory}/{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, "gateway", "--settings", f"{self.directory}/{self.name}.ini", stdout=log, stderr=log)

    @property
    def running(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.running:
            self.process.send_signal(number)

    def mark_disturbed(self):
        """Records that the node has just lost contact with the store or was suspended."""
        self.disturbed_at = time.monotonic()

    def had_store_contact(self, at):
        return at - self.disturbed_at > STORE_CONTACT_GRACE_S

    def note_joined(self):
        """Records that the node reaches endpoints again."""
        self.stranded_times.append((self.stranded_since, time.monotonic()))
        self.stranded_since = None

    def is_stranded(self, at, for_s=0.0):
        """Whether the node reached no endpoint at that time and for some seconds before."""
        now = (self.stranded_since, float("inf"))
        return any(since is not None and since + for_s <= at < until for since, until in [*self.stranded_times, now])

    async def kill(self):
        self.mark_disturbed()
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def stop(self):
        """Stops the node as planned; returns its exit status, None when it had to be killed."""
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), STOP_GRACE_S + 0.5)
            return self.process.returncode
        except asyncio.TimeoutError:
            await self.kill()
            return None

    async def freeze(self, seconds):
        self.mark_disturbed()
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.mark_disturbed()
        self.send(signal.SIGCONT)
