"""The demo: see scripts/demo."""

import argparse
import os
import shutil
import signal
import sys
import tempfile
import time

from deployment import PROGRAM, Deployment, DeploymentError
from processes import Processes

PROCESS_FILE = "build/demo/processes.json"
# Slow enough that programs are in the middle of their turns when the entry process is killed.
ENGINE_SETTINGS = {"decode_us_per_token": 8000, "prefill_us_per_token": 100, "slots": 8, "kv_capacity": 60000}
REPLAY_SPEED = 0.1
# Number of model calls that must have started before an entry process is killed.
MIN_STARTED_CALLS = 8
REPLAY_TIMEOUT_S = 180


def kill_busiest_entry(deployment):
    """Kills the entry process with the most calls in progress and returns its name."""
    deadline = time.monotonic() + 30
    while deployment.completion_count() < MIN_STARTED_CALLS and time.monotonic() < deadline:
        time.sleep(0.02)
    health = {name: deployment.health(name) for name in deployment.running()}
    victim = max(health, key=lambda name: (health[name].get("calls", 0), health[name].get("partitions", 0)))
    deployment.processes.kill(f"{deployment.name}/{victim}")
    state = health[victim]
    print(f"{deployment.name}: killed {victim} ({deployment.entries[victim]['address']}) with"
          f" {state.get('calls')} calls and {state.get('partitions')} partitions")
    return victim


def replay(deployment):
    """Replays the trace, kills an entry process in the middle and returns whether all outcomes hold."""
    log = os.path.join(deployment.directory, "replay.log")
    child = deployment.processes.start(f"{deployment.name}/replay", deployment.replay_command(REPLAY_SPEED), log)
    kill_busiest_entry(deployment)
    if child.poll() is not None:
        print(f"{deployment.name}: the replay ended before the kill")
        holds = False
    else:
        holds = child.wait(REPLAY_TIMEOUT_S) == 0
    with open(log, encoding="utf-8") as file:
        print(file.read())
    return holds


def print_addresses(deployment):
    for name in deployment.running():
        print(f"{deployment.name}: {name} callers http://{deployment.entries[name]['address']}")
    model = next(m for m in deployment.document.sections() if m.startswith("model ")).split(" ", 1)[1]
    address = deployment.entries[deployment.running()[0]]["address"]
    print(f"curl -sN http://{address}/v1/chat/completions -H 'Authorization: Bearer {deployment.customer_keys[0]}'"
          f" -d '{{\"model\":\"{model}\",\"stream\":true,\"max_tokens\":8,"
          f"\"messages\":[{{\"role\":\"user\",\"content\":\"Hello\"}}]}}'")


def run(arguments, directory, processes):
    deployments = []
    for name in ("nilavilakku", "minningarskjoldur"):
        deployments.append(Deployment(name, f"examples/demo/{name}.ini", f"tests/data/traces/{name}.jsonl", directory,
                                      processes, ENGINE_SETTINGS, arguments.program))
    for deployment in deployments:
        deployment.start()
    for deployment in deployments:
        for name, state in deployment.wait_ready().items():
            print(f"{deployment.name}: {name} ready, members={state['members']} partitions={state['partitions']}")
    holds = True
    for deployment in deployments:
        holds = replay(deployment) and holds
    print("demo: " + ("all stated outcomes hold" if holds else "FAILED: an outcome does not hold"))
    if arguments.keep:
        for deployment in deployments:
            print_addresses(deployment)
        print(f"Logs and settings are in {directory}. Ctrl-C ends all processes.", flush=True)
        signal.pause()
    return 0 if holds else 1


def main():
    parser = argparse.ArgumentParser(prog="scripts/demo")
    parser.add_argument("--program", action="append", metavar="FILE",
                        help="a build of the program; with several, entry processes run them in turn")
    parser.add_argument("--keep", action="store_true", help="leave everything running until Ctrl-C or the next run")
    arguments = parser.parse_args()
    arguments.program = arguments.program or [PROGRAM]
    sys.stdout.reconfigure(line_buffering=True)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    processes = Processes(PROCESS_FILE)
    processes.end_earlier_run()
    directory = tempfile.mkdtemp(prefix="lagoontiller-demo-")
    status = 4
    try:
        status = run(arguments, directory, processes)
    except KeyboardInterrupt:
        status = 0 if arguments.keep else 130
    except DeploymentError as error:
        print(f"demo: {error}; logs are in {directory}", file=sys.stderr)
    finally:
        # A second signal must not leave processes behind.
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        processes.end_all()
        if status == 0:
            shutil.rmtree(directory, ignore_errors=True)
        else:
            print(f"demo: the logs are kept in {directory}", file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
