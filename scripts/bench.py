"""Runs every benchmark once and replaces the marked parts of the pages by what it printed.

A marked part begins with `<!-- bench:NAME -->` and ends with `<!-- /bench:NAME -->`; each part that
is written begins with the command that gave it.
"""
import pathlib
import platform
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
MEASUREMENTS = ROOT / "docs" / "MEASUREMENTS.md"
CAPACITY = ROOT / "docs" / "CAPACITY.md"


def machine():
    """One line on where the figures come from."""
    model = next((line.split(":")[1].strip() for line in open("/proc/cpuinfo")
                  if line.startswith("model name")), platform.machine())
    cores = sum(1 for line in open("/proc/cpuinfo") if line.startswith("processor"))
    load = open("/proc/loadavg").read().split()[0]
    memory = next(int(line.split()[1]) for line in open("/proc/meminfo") if "MemTotal" in line)
    day = time.strftime("%Y-%m-%d")
    return (f"Run on {day}, {cores} cores of {model}, {memory / 1048576:.0f} GiB, load average "
            f"{load} at the start.")


def run(command):
    """Returns what the command printed; a failure ends the run."""
    print("running:", " ".join(command), flush=True)
    started = time.monotonic()
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    if result.returncode != 0:
        sys.exit(f"{' '.join(command)} failed:\n{result.stdout}\n{result.stderr}")
    print(f"  {time.monotonic() - started:.0f} s", flush=True)
    return result.stdout


def replace(page, name, text):
    """Puts the text between the page's markers of that name."""
    begin, end = f"<!-- bench:{name} -->", f"<!-- /bench:{name} -->"
    old = page.read_text()
    if begin not in old or end not in old:
        sys.exit(f"{page} lacks the markers {begin} and {end}; put them back.")
    before, rest = old.split(begin, 1)
    after = rest.split(end, 1)[1]
    new = page.with_suffix(".new")
    new.write_text(f"{before}{begin}\n{text.strip()}\n{end}{after}")
    new.replace(page)


def shown(command):
    return "Command: `" + " ".join(command).replace(str(ROOT) + "/", "") + "`\n\n"


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build")
    bench = str(build / "fernmoor-bench")
    wanted = sys.argv[2:]

    def section(page, name, command):
        if not wanted or name in wanted:
            replace(page, name, shown(command) + run(command))

    if not wanted:
        replace(MEASUREMENTS, "machine", machine())
        replace(CAPACITY, "machine", machine())
    for workload in ("neerkaval", "agency"):
        for staleness in (0, 500, 10000):
            section(MEASUREMENTS, f"{workload}-{staleness}",
                    [bench, "policies", f"--workload=examples/workloads/{workload}.toml",
                     "--seed=1", "--seeds=3", "--threads=3", f"--staleness_ms={staleness}"])
    for load in (2, 10):
        section(MEASUREMENTS, f"overload-{load}",
                [bench, "policies", "least_expected_time", "least_loaded",
                 "--workload=examples/workloads/neerkaval.toml", "--seed=1", "--seeds=2", "--threads=3",
                 "--seconds=40", f"--load={load}"])
    section(MEASUREMENTS, "spread", [bench, "spread", "--seed=1"])
    section(MEASUREMENTS, "http", ["python3", "scripts/bench_http.py", str(build), "15"])
    if not wanted or "slopes" in wanted:
        command = [bench, "slopes"]
        slopes, _, capacity = run(command).partition("Capacity of one node at the target")
        replace(CAPACITY, "slopes", shown(command) + slopes)
        replace(CAPACITY, "roles", shown(command) + capacity)


if __name__ == "__main__":
    main()
