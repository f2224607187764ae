"""One deployment on loopback addresses: stand-ins, entry processes and their configuration."""

import configparser
import json
import os
import re
import subprocess
import time
import urllib.error
import urllib.request

# Offsets from the first port of a deployment. The document has callers at +1..., model endpoints at +101... and
# service endpoints at +201...
OPERATOR_PORTS = 21
NODE_PORTS = 41
TABLE_PORT, OBJECT_PORT, VM_LIST_PORT, WEIGHT_PORT = 90, 91, 92, 93
READY_SECONDS = 60
PROGRAM = "build/lagoontiller"
STANDINS = "build/lagoontiller-standins"


class DeploymentError(Exception):
    """A process failed or did not reach the expected state in time."""


def fetch(address, path, body=None, key=None, timeout=5):
    """Returns the HTTP status and the parsed body; status 0 when the request fails or the body is not JSON."""
    headers = {"Content-Type": "application/json"}
    if key:
        headers["Authorization"] = "Bearer " + key
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, headers=headers)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=timeout) as response:
            return response.status, json.loads(response.read())
    except urllib.error.HTTPError as error:
        text = error.read()
        return error.code, json.loads(text) if text.startswith(b"{") else {}
    except (OSError, ValueError):
        return 0, {}


def read_document(path):
    """Returns the text and sections of a document and the example keys in the comments above its customers."""
    with open(path, encoding="utf-8") as file:
        text = file.read()
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    keys = re.findall(r"^# Example key, not for production: (\S+)$", text, re.MULTILINE)
    return text, parser, keys


class Deployment:
    def __init__(self, name, document, trace, directory, processes, engine, programs=(PROGRAM,)):
        self.name = name
        # Builds of the program, assigned to the entry processes round-robin.
        self.programs = programs
        self.trace = trace
        self.directory = os.path.join(directory, name)
        os.makedirs(self.directory)
        self.processes = processes
        self.engine = engine
        self.text, self.document, self.customer_keys = read_document(document)
        self.regions = self.section_names("region")
        self.vms = {name: dict(self.document[f"vm {name}"]) for name in self.section_names("vm")}
        self.entries = {name: vm for name, vm in self.vms.items() if vm["role"] == "entry"}
        self.host, first = next(iter(self.entries.values()))["address"].rsplit(":", 1)
        self.base = int(first) - 1
        self.operator_key = None

    def section_names(self, kind):
        return [s.split(" ", 1)[1] for s in self.document.sections() if s.startswith(kind + " ")]

    def address_at(self, offset):
        return f"{self.host}:{self.base + offset}"

    def region_of(self, zone):
        return self.document[f"zone {zone}"]["region"]

    def endpoints(self, kind):
        return [vm["address"] for vm in self.vms.values()
                if vm["role"] == "endpoint" and self.document[f"service {vm['service']}"]["kind"] == kind]

    def caller_addresses(self):
        return [vm["address"] for vm in self.entries.values()]

    def start(self, entries=None):
        """Starts the stand-ins and the entry processes (all of the document, or the named ones)."""
        self.start_standins()
        keys = self.deployment_keys()
        for index, (name, vm) in enumerate(self.entries.items()):
            if entries is None or name in entries:
                self.start_entry(index, name, vm, keys)
        self.accept_document()

    def start_standins(self):
        lines = ["[run]", "threads = 2"]
        platform = (("table", TABLE_PORT), ("objects", OBJECT_PORT), ("vmlist", VM_LIST_PORT), ("weights", WEIGHT_PORT))
        for kind, port in platform:
            lines += [f"[{kind} {kind}]", f"address = {self.address_at(port)}"]
        for name, vm in self.vms.items():
            if vm["role"] != "endpoint":
                continue
            model = self.document[f"service {vm['service']}"]["kind"] == "model"
            lines += [f"[{'engine' if model else 'service'} {name}]", f"address = {vm['address']}"]
            if model:
                lines += [f"{key} = {value}" for key, value in self.engine.items()]
        path = os.path.join(self.directory, "standins.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        child = self.processes.start(f"{self.name}/standins", [STANDINS, "run", "--config", path],
                                     os.path.join(self.directory, "standins.log"))
        self.wait_until(lambda: fetch(self.address_at(VM_LIST_PORT), "/v1/vms")[0] == 200, child,
                        "the stand-ins answer")
        vms = [{"name": name, "address": vm["address"], "role": vm["role"], "service": vm.get("service", ""),
                "zone": vm["zone"], "region": self.region_of(vm["zone"]), "state": "live"}
               for name, vm in self.vms.items()]
        status, answer = fetch(self.address_at(VM_LIST_PORT), "/control", {"vms": vms})
        if status != 200:
            raise DeploymentError(f"{self.name}: the VM list stand-in refused the list: {answer}")

    def deployment_keys(self):
        pair = subprocess.run([PROGRAM, "hash-key", "--deployment"], check=True, capture_output=True, text=True)
        operator = subprocess.run([PROGRAM, "hash-key"], check=True, capture_output=True, text=True)
        self.operator_key = operator.stderr.split("key: ", 1)[1].strip()
        return pair.stdout + operator.stdout

    def start_entry(self, index, name, vm, keys):
        others = [self.address_at(NODE_PORTS + other) for other in range(len(self.entries)) if other != index]
        seeds = f"seeds = {', '.join(others)}" if others else ""
        settings = f"""[node]
name = {name}
zone = {vm['zone']}
region = {self.region_of(vm['zone'])}
caller_address = {vm['address']}
operator_address = {self.address_at(OPERATOR_PORTS + index)}
node_address = {self.address_at(NODE_PORTS + index)}
{seeds}

[platform]
table_address = {self.address_at(TABLE_PORT)}
object_address = {self.address_at(OBJECT_PORT)}
vm_list_address = {self.address_at(VM_LIST_PORT)}
weight_store_address = {self.address_at(WEIGHT_PORT)}

[deployment]
regions = {', '.join(self.regions)}

[keys]
{keys}"""
        path = os.path.join(self.directory, f"{name}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        program = self.programs[index % len(self.programs)]
        self.processes.start(f"{self.name}/{name}", [program, "serve", "--settings", path],
                             os.path.join(self.directory, f"{name}.log"))

    def running(self):
        """Returns the names of the running entry processes."""
        return [name for name in self.entries
                if (child := self.processes.children.get(f"{self.name}/{name}")) and child.poll() is None]

    def accept_document(self):
        body = {"base": 0, "author": "demo", "text": self.text}
        name = self.running()[0]
        operator = self.address_at(OPERATOR_PORTS + list(self.entries).index(name))
        child = self.processes.children[f"{self.name}/{name}"]
        self.wait_until(lambda: fetch(operator, "/v1/document", key=self.operator_key)[0] != 0, child,
                        "the operator API answers")
        status, answer = fetch(operator, "/v1/document", body, self.operator_key, timeout=20)
        if status != 200 or answer.get("result") != "accepted":
            raise DeploymentError(f"{self.name}: the document was not accepted: {status} {json.dumps(answer)}")

    def health(self, name):
        return fetch(self.entries[name]["address"], "/healthz")[1]

    def wait_ready(self):
        """Waits until every entry process sees all others and all partitions have an owner."""
        count = len(self.running())

        def ready():
            states = [self.health(name) for name in self.running()]
            return (len(states) == count and all(s.get("ready") and s.get("members") == count for s in states)
                    and sum(s["partitions"] for s in states) == 256)

        self.wait_until(ready, None, "all entry processes are ready")
        return {name: self.health(name) for name in self.running()}

    def wait_until(self, condition, child, what):
        deadline = time.monotonic() + READY_SECONDS
        while not condition():
            if child is not None and child.poll() is not None:
                raise DeploymentError(f"{self.name}: a process ended with status {child.returncode} before {what}")
            if time.monotonic() > deadline:
                raise DeploymentError(f"{self.name}: timed out after {READY_SECONDS} s waiting until {what}")
            time.sleep(0.1)

    def completion_count(self):
        return sum(fetch(address, "/control")[1].get("completions", 0) for address in self.endpoints("model"))

    def replay_command(self, speed):
        command = [STANDINS, "replay", "--entries", ",".join(self.caller_addresses()), "--trace", self.trace,
                   "--services", ",".join(self.endpoints("tool")), "--speed", str(speed)]
        for key in self.customer_keys:
            command += ["--key", key]
        return command
