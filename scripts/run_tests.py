"""Runs every test of the project and prints one closing line "N passed, N failed".

Unit tests are the doctest cases of fernmoor_tests, spread over a few processes; process tests are
the executable files test/process/*.sh and *_test.py, run with the build folder as argument. A few of
them run side by side, each in a network namespace of its own with nothing but the loopback
interface, so that they cannot take each other's ports. Where no namespace can be made (this needs
root) they run one after another.
"""
import argparse
import concurrent.futures
import fcntl
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import xml.etree.ElementTree as ElementTree

UNIT_TIMEOUT_SECONDS = 300
PROCESS_TIMEOUT_SECONDS = 180
UNIT_SHARDS = 6
PROCESS_LANES = 4
# Option of this script that brings up loopback and then becomes the command behind it.
IN_OWN_NET = "--in-own-net"
SIOCGIFFLAGS = 0x8913
SIOCSIFFLAGS = 0x8914
IFF_UP = 0x1
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


def bring_up_loopback():
    """Brings up the loopback interface of this process's network namespace; a new one has it down."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as control:
        request = struct.pack("16sH14x", b"lo", 0)
        flags = struct.unpack("16sH14x", fcntl.ioctl(control, SIOCGIFFLAGS, request))[1]
        fcntl.ioctl(control, SIOCSIFFLAGS, struct.pack("16sH14x", b"lo", flags | IFF_UP))


def own_net_command():
    """Returns the words that put a command into a network namespace of its own; [] where that fails."""
    words = ["unshare", "--net", sys.executable, os.path.abspath(__file__), IN_OWN_NET]
    try:
        trial = subprocess.run(words + ["true"], capture_output=True, text=True)
    except FileNotFoundError as missing:
        print(f"process tests run one after another: {missing}", flush=True)
        return []
    if trial.returncode != 0:
        print(f"process tests run one after another: {trial.stderr.strip()}", flush=True)
        return []
    return words


def run_process_test(net, script, build):
    test = subprocess.Popen(net + [str(script), str(build)], stdout=subprocess.PIPE,
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


def run_process_tests(folder, build):
    """Runs the process tests and prints each one's outcome."""
    scripts = [script for script in sorted([*folder.glob("*.sh"), *folder.glob("*_test.py")])
               if os.access(script, os.X_OK)]
    net = own_net_command()
    outcomes = []
    with concurrent.futures.ThreadPoolExecutor(PROCESS_LANES if net else 1) as lanes:
        for outcome in lanes.map(lambda script: run_process_test(net, script, build), scripts):
            outcomes.append(outcome)
            print(("ok   " if outcome[1] else "FAIL ") + outcome[0], flush=True)
    return outcomes


def main():
    if sys.argv[1:2] == [IN_OWN_NET]:
        bring_up_loopback()
        os.execvp(sys.argv[2], sys.argv[2:])
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", type=pathlib.Path, required=True)
    parser.add_argument("--root", type=pathlib.Path, required=True)
    arguments = parser.parse_args()
    outcomes = run_unit_tests(arguments.build / "fernmoor_tests")
    outcomes += run_process_tests(arguments.root / "test" / "process", arguments.build)
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
