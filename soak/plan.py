"""The seeded plan of a run: which fault is injected at which time."""

from dataclasses import dataclass

WARM_UP_S = 3.0
PLANNED_S = 7.0
STREAMS_S = 4.5
# Some nodes reach no endpoint, without other faults beside them.
STRANDED_S = 6.0
# Only with accounts: a key is revoked, without other faults beside it.
REVOCATION_S = 7.5
FAULTS_S = 12.0
RECOVERY_S = 5.0
# The rate limit of an engine is judged from 8 s after its first request on. Nodes that need seconds for their start on a
# busy machine left nothing of the 9 s that the run used to last then.
LIMIT_S = 4.0
CALM_S = 4.0

STORE_MODES = ("down", "silent", "slow", "lost", "late")
LINK_MODES = ("delay", "cut", "one_way")
STRANDED_MODES = ("hang", "reset", "refuse")
ENDPOINT_FAULTS = ("lost", "slow", "hang", "full", "lies", "break")


@dataclass(frozen=True)
class Step:
    """One fault: start time, kind, index of the target among those of its kind, mode and duration."""

    at_s: float
    kind: str
    target: int
    mode: str = ""
    duration_s: float = 0.0


def planned_steps(random):
    """Stops, reloads and configuration changes, in series and overlapping, without other faults."""
    start = WARM_UP_S
    steps = [Step(start + random.uniform(0, PLANNED_S - 4), "move", random.randrange(2))]
    for _ in range(2):
        steps.append(Step(start + random.uniform(0, PLANNED_S - 4.5), "stop", random.randrange(100)))
    for _ in range(3):
        steps.append(Step(start + random.uniform(0, PLANNED_S - 2), random.choice(("reload", "edit")), random.randrange(100)))
    return steps


def stream_steps():
    """Streams that break and are resumed, and faulty responses, without other faults beside them."""
    return [Step(WARM_UP_S + PLANNED_S, "streams", 0, "", STREAMS_S - 2)]


def stranded_steps(random):
    """Half of the nodes, then another half, are partitioned from all endpoints; two endpoints are leaving."""
    start = WARM_UP_S + PLANNED_S + STREAMS_S
    first = random.randrange(100)
    modes = random.sample(STRANDED_MODES, 2)
    cuts = [Step(start, "strand", first, modes[0], 3.0), Step(start + 3.3, "strand", first + 1, modes[1], 2.2)]
    # An engine and a plain endpoint leave meanwhile.
    return cuts + [Step(start - 0.5, "leave", target, "", STRANDED_S) for target in (3, 9)]


def revocation_steps():
    """The node that is frozen misses the revocation for longer than the bound of 3 s; see accounts.py."""
    return [Step(WARM_UP_S + PLANNED_S + STREAMS_S + STRANDED_S, "revocation", 0, "", 4.6)]


def account_steps(random):
    """Beside the other faults: a second revocation, and more kills while one account is over its quota."""
    start = faults_start_s(True)
    kills = [Step(start + random.uniform(0, FAULTS_S - 1), "kill", random.randrange(100)) for _ in range(3)]
    return [Step(start + random.uniform(0, FAULTS_S - 4), "revoke", 0), *kills]


def faults_start_s(accounts):
    return WARM_UP_S + PLANNED_S + STREAMS_S + STRANDED_S + (REVOCATION_S if accounts else 0)


def fault_steps(random, start):
    """Faults of every kind, several at a time, mixed with planned work."""
    steps = []
    for _ in range(random.randint(8, 14)):
        at = start + random.uniform(0, FAULTS_S - 4)
        target = random.randrange(100)
        seconds = random.uniform(0.5, 3.5)
        kind = random.choice(("store", "store", "forget", "freeze", "kill", "kill", "stop", "reload", "store_link",
                              "caller_link", "endpoint_link", "reset", "silence", "endpoint", "endpoint", "crash", "killed", "drain",
                              "strand"))
        mode = ""
        if kind == "store":
            mode = random.choice(STORE_MODES)
        elif kind.endswith("_link"):
            mode = random.choice(LINK_MODES)
        elif kind == "endpoint":
            mode = random.choice(ENDPOINT_FAULTS)
        elif kind == "strand":
            mode = random.choice(STRANDED_MODES)
        elif kind in ("reset", "silence"):
            mode = random.choice(("store", "caller", "endpoint"))
        steps.append(Step(at, kind, target, mode, seconds))
    steps.append(Step(start + random.uniform(0, FAULTS_S - 3), "move", random.randrange(2)))
    # Lost answers can lead a gateway to execute a request twice or to refuse it falsely: each run has them at an engine
    # and at every endpoint of the service that runs the calls that must not be repeated.
    steps.append(Step(start + random.uniform(0, 4), "endpoint", 0, "lost", 4.0))
    steps.append(Step(start + random.uniform(0, 4), "service", 0, "lost", 4.0))
    # A process that is killed closes unframed responses in order.
    for target in (1, 2, 8, 14):
        steps.append(Step(start + random.uniform(0, 4), "unframed", target, "", 6.0))
        steps.append(Step(start + random.uniform(4, 6), "killed", target, "", 0.5))
    return steps


def make(random, accounts):
    steps = planned_steps(random) + stream_steps() + stranded_steps(random) + fault_steps(random, faults_start_s(accounts))
    if accounts:
        steps += revocation_steps() + account_steps(random)
    return sorted(steps, key=lambda step: step.at_s)
