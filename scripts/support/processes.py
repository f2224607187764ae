"""Processes that a script starts: recorded by id and start time, so that a later run can end any that remain."""

import json
import os
import signal
import subprocess
import time

STOP_SECONDS = 10


def start_time(pid):
    """Start time of a process in clock ticks since boot; None when it does not run."""
    try:
        with open(f"/proc/{pid}/stat", encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
    except OSError:
        return None
    return None if fields[0] == "Z" else int(fields[19])


class Processes:
    """Starts processes, records them in a file and ends them by id."""

    def __init__(self, record):
        self.record = record
        self.children = {}

    def end_earlier_run(self):
        """Ends the processes of an earlier run, its script first, which then ends its children itself."""
        try:
            with open(self.record, encoding="utf-8") as file:
                entries = json.load(file)
        except (OSError, ValueError):
            return
        # The start time tells a recorded process from a later one with the same id.
        alive = [(pid, started) for pid, started in entries if start_time(pid) == started]
        for pid, started in alive:
            if start_time(pid) != started:
                continue
            os.kill(pid, signal.SIGTERM)
            # The script of that run itself waits STOP_SECONDS for its children.
            deadline = time.monotonic() + 2 * STOP_SECONDS
            while start_time(pid) == started and time.monotonic() < deadline:
                time.sleep(0.05)
            if start_time(pid) == started:
                os.kill(pid, signal.SIGKILL)
        if alive:
            print(f"ended {len(alive)} processes of an earlier run")
        if os.path.exists(self.record):
            os.unlink(self.record)

    def start(self, name, command, log):
        with open(log, "wb") as output:
            child = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT, start_new_session=True)
        self.children[name] = child
        self.write_record()
        return child

    def write_record(self):
        entries = [(os.getpid(), start_time(os.getpid()))]
        entries += [(child.pid, start_time(child.pid)) for child in self.children.values() if child.poll() is None]
        os.makedirs(os.path.dirname(self.record), exist_ok=True)
        with open(self.record, "w", encoding="utf-8") as file:
            json.dump(entries, file)

    def kill(self, name):
        child = self.children[name]
        child.kill()
        child.wait()

    def end_all(self):
        """Ends entry processes first, because they write to the stand-ins until they have ended."""
        killed = []
        for last in (False, True):
            group = {name: child for name, child in self.children.items() if name.endswith("/standins") == last}
            killed += self.end(group)
        if killed:
            print(f"killed after {STOP_SECONDS} s: {' '.join(killed)}")
        self.children = {}
        if os.path.exists(self.record):
            os.unlink(self.record)

    @staticmethod
    def end(group):
        """Sends SIGTERM, then SIGKILL after STOP_SECONDS; returns the names of the processes that were killed."""
        for child in group.values():
            if child.poll() is None:
                child.terminate()
        deadline = time.monotonic() + STOP_SECONDS
        killed = []
        for name, child in group.items():
            try:
                child.wait(max(0.01, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()
                killed.append(name)
        return killed
