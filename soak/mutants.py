"""Mutation test of the soak: builds the gateway with one deliberate fault at a time and expects the soak to catch each.

Each mutant is one replacement in one source file. It is compiled with the command of the build folder, and the program is
linked with the new object ahead of the libraries that contain the original one.
"""

import json
import os
import shlex
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

BUILD = "build"
FOLDER = "build/mutants"
SEEDS = "1"
FIRST_LANE = 70


@dataclass(frozen=True)
class Mutant:
    """A fault that the gateway must not have, and the rule that it breaks."""

    name: str
    rule: str
    file: str
    original: str
    replacement: str


MUTANTS = (
    Mutant("second-send", "TWICE", "source/gateway/GatewayAttempts.cpp",
           "    if (flow.route->kind == CallKind::Idempotent)\n        return true;",
           "    return true;"),
    Mutant("dropped-event", "ORDER", "source/gateway/GatewayAnswers.cpp",
           "        out.append(event.bytes);",
           "        if (flow.eventCount != 5)\n            out.append(event.bytes);"),
    Mutant("reservation-skipped", "BUDGET", "source/gateway/GatewayAdmission.cpp",
           "    if (flow.waitsForBudget)\n        this->reserveBudget(id, now);",
           "    flow.waitsForBudget = false;"),
    Mutant("turn-not-durable", "LOST", "source/gateway/GatewayAnswers.cpp",
           "    if (flow.route->keepsHistory)\n        this->commitTurn(flow.id);\n    else\n        this->endStream(flow.id);",
           "    this->endStream(flow.id);"),
    Mutant("versions-joined", "ORDER", "source/gateway/GatewayAttempts.cpp",
           "    if (flow.streamVersion)\n        return { *flow.streamVersion };",
           "    return {};"),
    Mutant("limit-ignored", "LIMIT", "source/gateway/Placement.cpp",
           "rateLimits.earliestSend(known->entry, now) != now",
           "false"),
    Mutant("false-refusal", "REFUSED", "source/gateway/GatewayAttempts.cpp",
           "this->respond(flow.id, { 502, core::ResultCode::EndpointFailed, cause, {} });",
           "this->respond(flow.id, { 503, core::ResultCode::EndpointFailed, cause, {} });"),
)


def compile_command(source):
    with open(f"{BUILD}/compile_commands.json", encoding="utf-8") as file:
        entries = json.load(file)
    found = next(entry for entry in entries if entry["file"].endswith(source))
    return found["directory"], shlex.split(found["command"])


def link_command():
    lines = subprocess.run(["ninja", "-C", BUILD, "-t", "commands", "lagoontiller"], check=True, capture_output=True,
                           text=True).stdout.strip().split("\n")
    command = lines[-1].removeprefix(": && ").removesuffix(" && :")
    return shlex.split(command)


def build(mutant):
    """Builds the mutant and returns the path of its program."""
    with open(mutant.file, encoding="utf-8") as file:
        text = file.read()
    if text.count(mutant.original) != 1:
        sys.exit(f"mutant {mutant.name}: the text to replace must occur exactly once in {mutant.file}")
    folder = os.path.abspath(f"{FOLDER}/{mutant.name}")
    os.makedirs(folder, exist_ok=True)
    source = f"{folder}/{os.path.basename(mutant.file)}"
    with open(source, "w", encoding="utf-8") as file:
        file.write(text.replace(mutant.original, mutant.replacement))
    directory, command = compile_command(mutant.file)
    arguments = [source if each.endswith(mutant.file) else each for each in command]
    arguments[arguments.index("-o") + 1] = f"{folder}/mutant.o"
    subprocess.run(arguments, check=True, cwd=directory)
    link = link_command()
    program = f"{folder}/lagoontiller"
    link[link.index("-o") + 1] = program
    first_object = next(index for index, each in enumerate(link) if each.endswith(".o"))
    link.insert(first_object, f"{folder}/mutant.o")
    subprocess.run(link, check=True, cwd=BUILD)
    return program


def run_mutant(mutant, lane):
    """Returns whether the soak catches the mutant, and what it printed."""
    program = build(mutant)
    result = subprocess.run(["scripts/soak", "--program", program, "--seeds", SEEDS, "--lane", str(lane)], check=False,
                            capture_output=True, text=True)
    return result.returncode == 1 and f"broken {mutant.rule}:" in result.stdout, result.stdout


def main():
    chosen = [mutant for mutant in MUTANTS if not sys.argv[1:] or mutant.name in sys.argv[1:]]
    with ThreadPoolExecutor(max_workers=len(chosen)) as pool:
        results = list(pool.map(run_mutant, chosen, range(FIRST_LANE, FIRST_LANE + len(chosen))))
    for mutant, (caught, output) in zip(chosen, results):
        print(f"mutant {mutant.name}: {'caught as ' + mutant.rule if caught else 'MISSED'}")
        if not caught:
            print(output[-2000:])
    caught_count = sum(caught for caught, _ in results)
    print(f"{caught_count} passed, {len(results) - caught_count} failed")
    sys.exit(0 if caught_count == len(results) else 1)


if __name__ == "__main__":
    main()
