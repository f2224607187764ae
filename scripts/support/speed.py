"""Throughput, latency and memory of one node: see scripts/bench.d/speed.

Prints key=value lines and a verdict per target.
"""

import os
import shutil
import signal
import statistics
import subprocess
import sys
import tempfile
import time

from deployment import STANDINS, TABLE_PORT, Deployment, DeploymentError, fetch
from processes import Processes

PROCESS_FILE = "build/bench/speed-processes.json"
# Nothing but the node and the load generator limits the small requests; streams run at 50 tokens per second each.
FAST_ENGINE = {"decode_us_per_token": 100, "prefill_us_per_token": 1, "slots": 100000, "kv_capacity": 2000000000,
               "batch_slowdown": 0}
STREAM_ENGINE = FAST_ENGINE | {"decode_us_per_token": 20000}
# A stand-in engine ends its text after a few dozen tokens; slow decoding keeps streams open while memory is read.
SLOW_ENGINE = FAST_ENGINE | {"decode_us_per_token": 500000}
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
TARGET_REQUESTS_PER_S = 2000
TARGET_ADDED_TOKEN_MS_P99 = 1
# Store writes may grow by this factor while the request rate grows by at least MIN_RATE_GROWTH.
MAX_WRITE_GROWTH = 1.5
MIN_RATE_GROWTH = 4
SETTLE_SECONDS = 3
STREAM_ROUNDS = 9


class Bench:
    def __init__(self):
        self.directory = tempfile.mkdtemp(prefix="lagoontiller-speed-")
        self.processes = Processes(PROCESS_FILE)
        self.deployment = None
        self.missed_targets = 0
        self.runs = 0

    def start(self, engine):
        self.processes.end_all()
        self.runs += 1
        directory = os.path.join(self.directory, str(self.runs))
        os.makedirs(directory)
        self.deployment = Deployment("speed", "scripts/support/speed.ini", "", directory, self.processes, engine)
        self.deployment.start()
        self.deployment.wait_ready()

    def pid(self):
        return self.processes.children["speed/entry"].pid

    def cpu_seconds(self):
        with open(f"/proc/{self.pid()}/stat", encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S

    def resident_kb(self):
        with open(f"/proc/{self.pid()}/status", encoding="utf-8") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmRSS:"))

    def store_writes(self):
        return fetch(self.deployment.address_at(TABLE_PORT), "/control")[1]["writes"]

    def load_command(self, target, options):
        return [STANDINS, "load", "--entries", target, "--key", self.deployment.customer_keys[0], "--model", "bench",
                *(str(option) for option in options)]

    def load(self, *options, direct=False):
        """Runs the load generator and returns its figures; raises DeploymentError for an unanswered request."""
        target = self.deployment.endpoints("model")[0] if direct else self.deployment.caller_addresses()[0]
        done = subprocess.run(self.load_command(target, options), capture_output=True, text=True, check=False)
        figures = dict(line.split("=", 1) for line in done.stdout.splitlines() if "=" in line)
        if done.returncode != 0:
            raise DeploymentError(f"load {' '.join(map(str, options))} ended with {done.returncode}:"
                           f" {done.stdout}{done.stderr}")
        return {name: float(value) for name, value in figures.items()}

    def verdict(self, name, holds, text):
        self.missed_targets += 0 if holds else 1
        print(f"verdict {name}={'met' if holds else 'MISSED'} {text}")


def slope(points):
    """Least-squares slope of (x, y) points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)


def small_requests(bench):
    bench.load("--requests", 2000, "--connections", 256, "--tokens", 4)
    cpu = bench.cpu_seconds()
    figures = bench.load("--requests", 20000, "--connections", 768, "--tokens", 4)
    cpu = bench.cpu_seconds() - cpu
    rate = figures["requests_per_s"]
    print(f"requests_per_s={rate:.0f}")
    print(f"request_latency_ms_p50={figures['latency_ms_p50']:.1f}")
    print(f"request_latency_ms_p99={figures['latency_ms_p99']:.1f}")
    print(f"cpu_us_per_request={cpu / figures['answered'] * 1e6:.0f}")
    bench.verdict("requests_per_s", rate >= TARGET_REQUESTS_PER_S, f"{rate:.0f} of at least {TARGET_REQUESTS_PER_S}")


def store_writes(bench):
    points = []
    for connections in (8, 32, 128, 512):
        before = bench.store_writes()
        figures = bench.load("--requests", connections * 40, "--connections", connections, "--tokens", 4)
        writes = (bench.store_writes() - before) / figures["seconds"]
        points.append((figures["requests_per_s"], writes))
        print(f"store_rate connections={connections} requests_per_s={points[-1][0]:.0f}"
              f" store_writes_per_s={writes:.1f}")
    spread = points[-1][0] / points[0][0]
    growth = points[-1][1] / points[0][1]
    print(f"store_writes_growth={growth:.2f} requests_growth={spread:.1f}")
    bench.verdict("store_writes_flat", spread >= MIN_RATE_GROWTH and growth <= MAX_WRITE_GROWTH,
                  f"writes grew by {growth:.2f} (at most {MAX_WRITE_GROWTH}) while requests grew by {spread:.1f}")


def memory_per_program(bench):
    points = [(0, bench.resident_kb())]
    programs = 0
    for _ in range(4):
        bench.load("--requests", 10000, "--connections", 500, "--tokens", 4, "--turns", 2)
        programs += 5000
        time.sleep(SETTLE_SECONDS)
        points.append((programs, bench.resident_kb()))
    for count, resident in points:
        print(f"idle_programs={count} resident_kb={resident}")
    # The first load also fills buffers and pools that do not grow with the number of programs.
    print(f"resident_bytes_per_idle_program={slope(points[1:]) * 1024:.0f}")


def streams(bench):
    options = ("--open-streams", "--connections", 200, "--tokens", 400)
    rounds = []
    cpu = 0
    # Alternating rounds and comparing medians keeps a burst of other load on the machine from deciding the verdict.
    for _ in range(STREAM_ROUNDS):
        direct = bench.load(*options, direct=True)
        before = bench.cpu_seconds()
        rounds.append((direct, bench.load(*options)))
        cpu += bench.cpu_seconds() - before
    entry_figures = [entry for _, entry in rounds]
    print(f"streams={min(f['open_streams_peak'] for f in entry_figures):.0f}"
          f" tokens_per_s={statistics.median(f['tokens_per_s'] for f in entry_figures):.0f}")
    added = {}
    for name in ("read_gap_us_p50", "read_gap_us_p95", "read_gap_us_p99", "token_us_mean"):
        direct, entry = (statistics.median(each[side][name] for each in rounds) for side in (0, 1))
        added[name] = entry - direct
        print(f"{name}={entry:.0f} direct_{name}={direct:.0f} added={added[name]:.0f}")
    p99 = added["read_gap_us_p99"] / 1000
    print(f"added_ms_per_token_p99={p99:.3f}")
    print(f"cpu_us_per_token={cpu / sum(f['streamed_tokens'] for f in entry_figures) * 1e6:.1f}")
    bench.verdict("added_ms_per_token_p99", p99 < TARGET_ADDED_TOKEN_MS_P99,
                  f"{p99:.3f} of less than {TARGET_ADDED_TOKEN_MS_P99}")


def memory_per_stream(bench):
    points = []
    target = bench.deployment.caller_addresses()[0]
    for count in (100, 200, 400, 800):
        command = bench.load_command(target, ("--open-streams", "--connections", count, "--tokens", 600))
        child = bench.processes.start("load", command, os.path.join(bench.directory, "load.log"))
        bench.deployment.wait_until(lambda: bench.deployment.health("entry").get("calls", 0) >= count, child,
                              f"{count} streams are open")
        time.sleep(SETTLE_SECONDS)
        open_count = bench.deployment.health("entry").get("calls", 0)
        if open_count < count:
            raise DeploymentError(f"only {open_count} of {count} streams are still open")
        points.append((count, bench.resident_kb()))
        print(f"open_streams={count} resident_kb={points[-1][1]}")
        # The killed client cuts its streams, but the node runs their calls to the end; the next size needs a new node.
        child.kill()
        child.wait()
        bench.start(SLOW_ENGINE)
    print(f"resident_bytes_per_open_stream={slope(points) * 1024:.0f}")


PARTS = {
    "requests": (FAST_ENGINE, small_requests),
    "store": (FAST_ENGINE, store_writes),
    "programs": (FAST_ENGINE, memory_per_program),
    "streams": (STREAM_ENGINE, streams),
    "stream-memory": (SLOW_ENGINE, memory_per_stream),
}


def main():
    names = sys.argv[1:] or list(PARTS)
    if any(name not in PARTS for name in names):
        print(f"usage: scripts/bench speed [{'|'.join(PARTS)}]...", file=sys.stderr)
        return 1
    sys.stdout.reconfigure(line_buffering=True)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    bench = Bench()
    bench.processes.end_earlier_run()
    try:
        print(f"cores={os.cpu_count()} load_average={os.getloadavg()[0]:.1f}")
        for name in names:
            engine, measure = PARTS[name]
            bench.start(engine)
            measure(bench)
    except DeploymentError as error:
        print(f"bench: {error}; logs are in {bench.directory}", file=sys.stderr)
        return 4
    finally:
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        bench.processes.end_all()
    shutil.rmtree(bench.directory, ignore_errors=True)
    return 1 if bench.missed_targets else 0


if __name__ == "__main__":
    sys.exit(main())
