"""What all cases share: folder, record, set-up, end."""

import asyncio
import os
import signal
import shutil
import sys
import tempfile
import time
import traceback

import client
import store as stores
import system
import workers as workers_


class Unable(Exception):
    """The case couldn't run."""


class Case:
    def __init__(self, name):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.record = open(os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), name,
                                        "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.nodes, self.workers, self.ended = [], [], []
        self.prefix = system.free_prefix()
        self.store = stores.Store()

    def now(self):
        return time.monotonic() - self.began

    def note(self, *parts):
        self.record.write(f"{self.now():8.3f} " + " ".join(map(str, parts)) + "\n")
        self.record.flush()

    def configure(self, routes, services, version=7, limits=None):
        default = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        self.store.put_json("op", "config", {"version": version, "routes": routes, "services": services,
                                             "limits": limits or default})

    async def add_workers(self, service, zones, **options):
        for zone in zones:
            number = len(self.workers)
            worker = workers_.Worker(self.store, self.note, service, zone, f"{self.prefix}.2.{number + 1}", **options)
            self.workers.append(worker)
            await worker.start()

    async def add_nodes(self, zones, **options):
        for zone in zones:
            number = len(self.nodes)
            address = await self.store.listen(f"{self.prefix}.3.{number + 1}", 8142)
            node = system.Node(self.folder, f"edge-{zone}-{number + 1}", zone, f"{self.prefix}.1.{number + 1}",
                               address, note=self.note, **options)
            node.on_end = lambda name, status: self.ended.append((name, status))
            self.nodes.append(node)
            await node.start()
        await system.wait_ready(self.nodes)
        self.note("ready", len(self.nodes), "nodes")

    async def close(self):
        for node in self.nodes:
            await node.stop()
        for worker in self.workers:
            worker.up = False
            worker.server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(name, body):
    """Runs the case; the exit status is 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    if not os.path.exists(os.path.join(system.ROOT, "target", "lagoontiller")):
        print("build the deploy file first")
        sys.exit(2)

    # Connections of the stand-ins that are still open at the end need no message.
    sys.unraisablehook = lambda unraisable: None

    async def run():
        case = Case(name)
        client.note = case.note
        case.note("trouble" if case.trouble else "without trouble")
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            broken = await asyncio.wait_for(body(case), 110)
            case.note("RESULT", "broken" if broken else "held", broken or "")
            print("broken: " + broken if broken else "held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
            case.note("RESULT", "could not run", repr(error))
            traceback.print_exc()
            return 2
        finally:
            await case.close()

    sys.exit(asyncio.run(run()))
