"""Runs every test of the project and prints one closing line "N passed, N failed".

Unit tests are the doctest cases of fernmoor_tests, spread over a few processes; process tests are
the executable files test/process/*.sh and *_test.py, run one after another with the build folder
as argument.
"""
import argparse
import concurrent.futures
import os
import pathlib
import signal
import subprocess
import sys
import xml.etree.ElementTree as ElementTree

UNIT_TIMEOUT_SECONDS = 300
PROCESS_TIMEOUT_SECONDS = 180
UNIT_SHARDS = 6
# A process test that is cut off ends what it started when it is told to; what is left then is killed.
CUT_OFF_SECONDS = 20


def known_red(root):
    """Returns the names of tests listed in KNOWN-RED.txt (the text before the first comma)."""
    path = root / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return {line.split(",")[0].strip() for line in path.read_text().splitlines() if line.strip()}


def unit_case_count(binary):
    output = subprocess.run([binary, "--count"], capture_output=True, text=True, check=True).stdout
    for line in output.splitlines():
        if "unskipped test cases" in line:
            return int(line.split(":")[-1])
    raise RuntimeError("doctest did not count its cases")


def run_unit_shard(binary, first, last):
    """Runs the cases first..last; returns a list of (name, passed, output)."""
    command = [binary, "--reporters=xml", f"--first={first}", f"--last={last}", "--no-skipped-summary"]
    try:
        result = subprocess.run(command, capture_output=True, timeout=UNIT_TIMEOUT_SECONDS)
        document = ElementTree.fromstring(result.stdout.decode(errors="replace"))
    except subprocess.TimeoutExpired:
        return [(f"unit cases {first}..{last}", False, "timed out")]
    except ElementTree.ParseError:
        tail = (result.stdout + result.stderr).decode(errors="replace")[-4000:]
        return [(f"unit cases {first}..{last}", False, "crashed: " + tail)]
    outcomes = []
    for case in document.iter("TestCase"):
        summary = case.find("OverallResultsAsserts")
        if summary is None:
            continue
        passed = summary.get("test_case_success") == "true"
        detail = "" if passed else ElementTree.tostring(case, encoding="unicode")[:4000]
        outcomes.append((case.get("name"), passed, detail))
    return outcomes


def run_unit_tests(binary):
    count = unit_case_count(binary)
    size = max(1, -(-count // UNIT_SHARDS))
    ranges = [(first, min(count, first + size - 1)) for first in range(1, count + 1, size)]
    with concurrent.futures.ThreadPoolExecutor(UNIT_SHARDS) as pool:
        shards = pool.map(lambda bounds: run_unit_shard(binary, *bounds), ranges)
    outcomes = [outcome for shard in shards for outcome in shard]
    if len(outcomes) != count:
        outcomes.append(("all unit cases reported", False, f"{len(outcomes)} of {count} reported"))
    return outcomes


def run_process_test(script, build):
    test = subprocess.Popen([str(script), str(build)], stdout=subprocess.PIPE,
                            stderr=subprocess.PIPE, start_new_session=True)
    try:
        output = b"".join(test.communicate(timeout=PROCESS_TIMEOUT_SECONDS))
        return (script.name, test.returncode == 0, output.decode(errors="replace")[-6000:])
    except subprocess.TimeoutExpired:
        output = b"timed out\n" + cut_off(test)
        return (script.name, False, output.decode(errors="replace")[-6000:])


def cut_off(test):
    """Ends a process test with all that it started: processes that it left would go on sending to ports
    that later tests use. Returns what it printed."""
    for how in (signal.SIGTERM, signal.SIGKILL):
        try:
            os.killpg(test.pid, how)
            return b"".join(test.communicate(timeout=CUT_OFF_SECONDS))
        except subprocess.TimeoutExpired:
            continue
        except ProcessLookupError:
            break
    return b""


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--root", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    outcomes = run_unit_tests(arguments.build / "fernmoor_tests")
    folder = arguments.root / "test" / "process"
    for script in sorted([*folder.glob("*.sh"), *folder.glob("*_test.py")]):
        if os.access(script, os.X_OK):
            outcomes.append(run_process_test(script, arguments.build))
            print(("ok   " if outcomes[-1][1] else "FAIL ") + script.name, flush=True)
    red = known_red(arguments.root)
    failed = [outcome for outcome in outcomes if not outcome[1]]
    unexpected = [outcome for outcome in failed if outcome[0] not in red]
    for name, _, detail in failed:
        label = "KNOWN-RED" if name in red else "FAILED"
        print(f"{label}: {name}\n{detail}\n")
    print(f"{len(outcomes) - len(failed)} passed, {len(failed)} failed")
    sys.exit(1 if unexpected or not outcomes else 0)


if __name__ == "__main__":
    main()
