"""The seeded plan of a run: what goes wrong when."""

from dataclasses import dataclass

WARM_UP_S = 3.0
PLANNED_S = 7.0
TROUBLE_S = 12.0
RECOVERY_S = 5.0
CALM_S = 4.0

STORE_MODES = ("down", "silent", "slow", "lost", "late")
LINK_MODES = ("delay", "cut", "one_way")
ENDPOINT_FAULTS = ("lost", "slow", "hang", "full")


@dataclass(frozen=True)
class Step:
    """One fault: what happens at `at` seconds, to the `target`th thing of its kind, in which way and for how long."""

    at: float
    kind: str
    target: int
    how: str = ""
    for_s: float = 0.0


def planned(random):
    """Stops, reloads and configurations in series and overlapping; nothing else goes wrong."""
    start = WARM_UP_S
    steps = [Step(start + random.uniform(0, PLANNED_S - 4), "move", random.randrange(2))]
    for _ in range(2):
        steps.append(Step(start + random.uniform(0, PLANNED_S - 4.5), "stop", random.randrange(100)))
    for _ in range(3):
        steps.append(Step(start + random.uniform(0, PLANNED_S - 2), random.choice(("reload", "edit")), random.randrange(100)))
    return steps


def trouble(random):
    """Faults of every kind, several at a time, together with planned work."""
    start = WARM_UP_S + PLANNED_S
    steps = []
    for _ in range(random.randint(8, 14)):
        at = start + random.uniform(0, TROUBLE_S - 4)
        target = random.randrange(100)
        seconds = random.uniform(0.5, 3.5)
        kind = random.choice(("store", "store", "forget", "freeze", "kill", "kill", "stop", "reload", "store_link",
                              "caller_link", "endpoint_link", "reset", "silence", "endpoint", "endpoint", "crash", "drain"))
        how = ""
        if kind == "store":
            how = random.choice(STORE_MODES)
        elif kind.endswith("_link"):
            how = random.choice(LINK_MODES)
        elif kind == "endpoint":
            how = random.choice(ENDPOINT_FAULTS)
        elif kind in ("reset", "silence"):
            how = random.choice(("store", "caller", "endpoint"))
        steps.append(Step(at, kind, target, how, seconds))
    steps.append(Step(start + random.uniform(0, TROUBLE_S - 3), "move", random.randrange(2)))
    # Answers that are lost are what tempts a gateway into a second run or a false refusal: each run has them at an engine
    # and at every endpoint of the service that runs the calls that may not be repeated.
    steps.append(Step(start + random.uniform(0, 4), "endpoint", 0, "lost", 4.0))
    steps.append(Step(start + random.uniform(0, 4), "service", 0, "lost", 4.0))
    return steps


def make(random):
    return sorted(planned(random) + trouble(random), key=lambda step: step.at)
