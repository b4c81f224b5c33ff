#!/usr/bin/env python3
"""Plays the users' deployments on their bench and sets the figures beside those last landed.

Prints a line a deployment: mean worth of the standard days with trouble, score, gate and broken rules.
Ends with 1 where a deployment fell by more than the bench's noise, failed the gate or broke a rule,
and with 2 where a deployment could not be played. The figures last landed lie in a file of the
repository; --update writes the new ones there.
"""
import argparse
import dataclasses
import json
import pathlib
import subprocess
import sys
import tomllib
from typing import Optional

# A change of worth that counts as a fall; the bench calls smaller ones noise.
FALL = 0.03
# Machines of a deployment from which on two days at once are all that one machine bears: threads.
LARGE_MACHINES = 60
JOBS_LARGE = 2
JOBS_SMALL = 6


@dataclasses.dataclass
class Figures:
    """What a score of one deployment came to."""
    worth: float  # Mean over the standard days with trouble; 1 is all credit and no price.
    score: float
    gate: bool
    broken: list  # Names of rules.


class NotPlayed(Exception):
    """The bench gave no figures."""


def jobs_for(site_file):
    """Returns how many days of the deployment the machine bears at once."""
    with open(site_file, "rb") as file:
        machines = sum(group.get("count", 0) for group in tomllib.load(file)["machines"])
    return JOBS_LARGE if machines >= LARGE_MACHINES else JOBS_SMALL


def figures_of(entry):
    """Returns the figures of a journal entry of a score. Raises NotPlayed where a day has none."""
    faults = [f"{day['name']}: {day['fault']}" for day in entry["days"] if day["fault"]]
    if not entry["ok"] or not entry["days"] or any(day["parts"] is None for day in entry["days"]):
        raise NotPlayed("; ".join(faults) or entry.get("error") or "no day was played")
    fresh = [day for day in entry["days"] if day["name"].startswith("fresh")]
    standard = [day for day in entry["days"] if day not in fresh]
    troubled = [day["G"] for day in standard if day["slot"] != "quiet"]
    if not troubled:
        raise NotPlayed("no standard day with trouble was played")
    broken = sorted({rule for day in entry["days"] for rule in day["rules"]})
    return Figures(worth=sum(troubled) / len(troubled), score=entry["score"],
                   gate=all(day["gate"] for day in entry["days"]), broken=broken)


def newest_entry(journal, site, known):
    """Returns the newest entry of a score of the site that is not among `known` file names."""
    entries = []
    for path in journal.glob("*.json"):
        if path.name in known:
            continue
        entry = json.loads(path.read_text())
        if entry["site"] == site and entry["cmd"] == "score":
            entries.append((entry["at"][-1], path.name, entry))
    if not entries:
        raise NotPlayed("the bench left no entry in the journal")
    return max(entries)[2]


def play(bench, site_file, root, options):
    """Plays a score and returns its figures."""
    journal = root / "journal"
    known = {path.name for path in journal.glob("*.json")}
    command = [str(bench), "score", str(site_file), "--jobs", str(jobs_for(site_file)), "--why",
               options.why] + (["--quick"] if options.quick else [])
    result = subprocess.run(command, cwd=root, capture_output=True, text=True)
    try:
        return figures_of(newest_entry(journal, site_file.stem, known))
    except NotPlayed as missing:
        tail = (result.stdout + result.stderr)[-400:].strip()
        raise NotPlayed(f"{missing}; the bench said: {tail}") from missing


def faults_of(now, landed: Optional[dict]):
    """Returns what speaks against landing these figures, in words."""
    faults = []
    if now.broken:
        faults.append("broken: " + ", ".join(now.broken))
    if not now.gate:
        faults.append("gate failed")
    if landed is not None and landed["worth"] - now.worth > FALL:
        faults.append(f"fell by {landed['worth'] - now.worth:.3f}")
    return faults


def row_of(name, now, landed, faults):
    before = "-" if landed is None else f"{landed['worth']:.3f}"
    return (f"{name:22} {before:>6} {now.worth:6.3f} {now.score:6.3f} "
            f"{'passed' if now.gate else 'failed':6}  {'; '.join(faults) or 'ok'}")


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", type=pathlib.Path, required=True, help="the users' bench")
    parser.add_argument("--sites", type=pathlib.Path, required=True,
                        help="folder below which the deployments' files lie")
    parser.add_argument("--root", type=pathlib.Path, default=pathlib.Path.cwd(),
                        help="the repository; its journal takes the entries")
    parser.add_argument("--landed", type=pathlib.Path, required=True,
                        help="file with the deployments and the figures last landed")
    parser.add_argument("--only", default="", help="play only deployments whose name contains this")
    parser.add_argument("--quick", action="store_true",
                        help="only the light days; their figures are not comparable with whole ones")
    parser.add_argument("--update", action="store_true", help="write the new figures as landed")
    parser.add_argument("--why", default="regression", help="a line for the journal")
    options = parser.parse_args()
    landed = json.loads(options.landed.read_text())
    status = 0
    print(f"{'deployment':22} {'landed':>6} {'now':>6} {'score':>6} gate")
    for name, known in landed.items():
        if options.only not in name:
            continue
        before = None if options.quick else known.get("figures")
        try:
            now = play(options.bench.resolve(), (options.sites / known["file"]).resolve(),
                       options.root, options)
        except (NotPlayed, OSError) as missing:
            print(f"{name:22} not played: {missing}")
            status = 2
            continue
        faults = faults_of(now, before)
        print(row_of(name, now, before, faults), flush=True)
        status = max(status, 1 if faults else 0)
        if options.update and not options.quick:
            known["figures"] = dataclasses.asdict(now)
    if options.update:
        options.landed.write_text(json.dumps(landed, indent=2) + "\n")
    sys.exit(status)


if __name__ == "__main__":
    main()
