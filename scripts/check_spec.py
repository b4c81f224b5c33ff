"""Model checking of spec/: every model must hold, every variant with a rule taken out must fail.

A model is verified for assertions and invalid end states, and once more for each of its ltl claims.
A search that was cut short (depth, memory, time) proves nothing and counts as a failure. So does a
step marked with a chart transition that the search never reached, and a rule without a variant.
"""
import argparse
import concurrent.futures
import dataclasses
import os
import pathlib
import re
import resource
import subprocess
import sys
import tempfile
import time

PARALLEL_VERIFICATIONS = 6
MEMORY_BYTES = 3 * 1000**3
# Processor time, so that a busy machine does not decide the verdict; and a bound on waiting.
PROCESSOR_SECONDS = 110
VERIFICATION_TIMEOUT_SECONDS = 400
SEARCH_DEPTH = 200_000
HASH_TABLE_BITS = 22
STATE_VECTOR_BYTES = 4096
TRUNCATION_SIGNS = ("max search depth too small", "Search not completed", "out of memory",
                    "MEMLIM", "resizing hashtable failed")
CHART_MARK = re.compile(r"/\* chart \w+: ")


@dataclasses.dataclass
class Verification:
    """One run of the checker: a model, perhaps without a rule, for safety or for one claim."""
    model: pathlib.Path
    rule: str = ""
    claim: str = ""


@dataclasses.dataclass
class Outcome:
    verification: Verification
    states: int = 0
    seconds: float = 0.0
    violation: str = ""
    problem: str = ""


def claims_of(model):
    return re.findall(r"^ltl\s+(\w+)", model.read_text(), re.MULTILINE)


def rules_of(model):
    return sorted(set(re.findall(r"\bWITHOUT_\w+", model.read_text())))


def read_variants(spec):
    """Returns (model name, rule) of each line "model.pml -DWITHOUT_RULE"."""
    variants = []
    for line in (spec / "variants.txt").read_text().splitlines():
        text = line.split("#")[0].strip()
        if not text:
            continue
        match = re.fullmatch(r"(\S+\.pml)\s+-D(WITHOUT_\w+)", text)
        if not match:
            raise SystemExit(f"variants.txt: write 'model.pml -DWITHOUT_RULE' in place of '{line}'")
        variants.append((match.group(1), match.group(2)))
    return variants


def limit_resources():
    resource.setrlimit(resource.RLIMIT_AS, (MEMORY_BYTES, MEMORY_BYTES))
    resource.setrlimit(resource.RLIMIT_CPU, (PROCESSOR_SECONDS, PROCESSOR_SECONDS))


def run(command, folder):
    result = subprocess.run(command, cwd=folder, capture_output=True, text=True,
                            timeout=VERIFICATION_TIMEOUT_SECONDS, preexec_fn=limit_resources)
    killed = f"\nkilled by signal {-result.returncode}" if result.returncode < 0 else ""
    return result.returncode, result.stdout + result.stderr + killed


def steps_of(model, listing):
    """Returns {line number: {(process type, state)}} of the statements that "pan -d" lists.

    Guards are left out: the checker reports them by the whole selection, not one by one. So are
    the ends of process types.
    """
    steps = {}
    process = ""
    for line in listing.splitlines():
        if line.startswith("proctype "):
            process = line.split()[1]
        match = re.search(rf"state +(\d+) -.*{re.escape(model.name)}:(\d+) => (.*)", line)
        if match and not match.group(3).startswith(("(", "else", "-end-")):
            steps.setdefault(int(match.group(2)), set()).add((process, int(match.group(1))))
    return steps


def unreached_steps(model, output):
    unreached = set()
    process = ""
    for line in output.splitlines():
        if line.startswith("unreached in proctype "):
            process = line.split()[-1]
        match = re.search(rf"{re.escape(model.name)}:\d+, state (\d+),", line)
        if match:
            unreached.add((process, int(match.group(1))))
    return unreached


def unreached_chart_lines(model, listing, output):
    """Returns the lines with a chart mark whose step the search never executed in any copy.

    A mark belongs to the first statement on its line or on one of the two lines that follow.
    """
    steps = steps_of(model, listing)
    unreached = unreached_steps(model, output)
    missed = []
    for number, line in enumerate(model.read_text().splitlines(), 1):
        if not CHART_MARK.search(line):
            continue
        copies = next((steps[near] for near in range(number, number + 3) if near in steps), set())
        if copies <= unreached:
            missed.append(number)
    return missed


def explain(output):
    """Returns the checker's own words for the violation it found."""
    match = re.search(r"^pan:\d+: (.*?)(?: \(at depth \d+\))?$", output, re.MULTILINE)
    return match.group(1) if match else "violation without explanation"


def judge(outcome, output):
    match = re.search(r"errors: (\d+)", output)
    states = re.search(r"(\d+(?:\.\d+e\+\d+)?) states, stored", output)
    outcome.states = int(float(states.group(1))) if states else 0
    if match and int(match.group(1)) > 0 and "max search depth" not in explain(output):
        outcome.violation = explain(output)
        return
    if not match or any(sign in output for sign in TRUNCATION_SIGNS):
        outcome.problem = "search cut short: " + output.strip()[-300:]


def verify(verification):
    outcome = Outcome(verification)
    start = time.monotonic()
    # Without merging of statements (-o3) the checker tells apart which of them it reached.
    coverage = not verification.rule and not verification.claim
    generate = ["spin", "-a"] + (["-o3"] if coverage else []) + ([f"-D{verification.rule}"] if verification.rule else [])
    compile_flags = [] if verification.claim else ["-DSAFETY", "-DNOCLAIM"]
    search = ["./pan", f"-m{SEARCH_DEPTH}", f"-w{HASH_TABLE_BITS}"]
    if verification.claim:
        search += ["-a", "-N", verification.claim]
    try:
        with tempfile.TemporaryDirectory(prefix="fernmoor-spec-") as folder:
            code, output = run(generate + [str(verification.model)], folder)
            if code != 0:
                outcome.problem = "spin: " + output[-600:]
                return outcome
            # A variant's violation shows early, so that compiling would take longest.
            optimization = "-O0" if verification.rule else "-O2"
            code, output = run(["gcc", optimization, "-w", f"-DVECTORSZ={STATE_VECTOR_BYTES}",
                                *compile_flags, "-o", "pan", "pan.c"], folder)
            if code != 0:
                outcome.problem = "gcc: " + output[-600:]
                return outcome
            _, output = run(search, folder)
            listing = run(["./pan", "-d"], folder)[1] if coverage else ""
        judge(outcome, output)
        if coverage:
            lines = unreached_chart_lines(verification.model, listing, output)
            if lines and not outcome.violation:
                outcome.problem = f"chart steps never reached, lines {lines}"
    except subprocess.TimeoutExpired:
        outcome.problem = f"not done after {VERIFICATION_TIMEOUT_SECONDS} s"
    outcome.seconds = time.monotonic() - start
    return outcome


def verify_variant(model, rule):
    """Looks for the violation in the safety run and then in each claim; returns the telling run."""
    outcome = verify(Verification(model, rule))
    for claim in claims_of(model):
        if outcome.violation or outcome.problem:
            break
        outcome = verify(Verification(model, rule, claim))
    return outcome


def verdict(outcome):
    """Returns (passed, words)."""
    if outcome.problem:
        return False, outcome.problem
    if outcome.verification.rule:
        return bool(outcome.violation), outcome.violation or "NO violation found without the rule"
    return not outcome.violation, outcome.violation or "holds"


def print_row(outcome):
    passed, words = verdict(outcome)
    verification = outcome.verification
    what = verification.rule or "all rules"
    if verification.claim:
        what += f", ltl {verification.claim}"
    print(f"{'ok  ' if passed else 'FAIL'} {verification.model.name:<16} {what:<44} "
          f"{outcome.states:>10} {outcome.seconds:>6.1f}  {words}", flush=True)
    return passed


def listing_problems(models, variants):
    """Every rule that a model names has a variant, every variant a rule, every model a rule."""
    problems = []
    by_name = {model.name: rules_of(model) for model in models}
    for name, rules in by_name.items():
        if not rules:
            problems.append(f"{name} has no rule that can be taken out (WITHOUT_...)")
        problems += [f"variants.txt lacks {name} -D{rule}" for rule in rules
                     if (name, rule) not in variants]
    problems += [f"variants.txt names {name} -D{rule}, which the model lacks"
                 for name, rule in variants if name in by_name and rule not in by_name[name]]
    return problems


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--spec", type=pathlib.Path, required=True)
    parser.add_argument("names", nargs="*", help="check only models whose name contains one of these")
    arguments = parser.parse_args()
    start = time.monotonic()
    everything = sorted(arguments.spec.glob("*.pml"))
    models = [model for model in everything
              if not arguments.names or any(name in model.name for name in arguments.names)]
    variants = read_variants(arguments.spec)
    problems = listing_problems(models, variants)
    problems += [f"variants.txt names {name}, which is not there" for name, _ in variants
                 if name not in {model.name for model in everything}]
    print(f"     {'model':<16} {'variant':<44} {'states':>10} {'s':>6}  verdict")
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_VERIFICATIONS) as pool:
        jobs = []
        for model in models:
            jobs.append(pool.submit(verify, Verification(model)))
            jobs += [pool.submit(verify, Verification(model, "", claim)) for claim in claims_of(model)]
        chosen = {model.name: model for model in models}
        jobs += [pool.submit(verify_variant, chosen[name], rule) for name, rule in variants
                 if name in chosen]
        passed = [print_row(job.result()) for job in jobs]
    for problem in problems:
        print("FAIL " + problem)
    failed = passed.count(False) + len(problems)
    print(f"{passed.count(True)} passed, {failed} failed, {len(models)} models, "
          f"{time.monotonic() - start:.0f} s")
    sys.exit(1 if failed or not models else 0)


if __name__ == "__main__":
    main()
