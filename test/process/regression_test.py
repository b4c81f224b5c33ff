#!/usr/bin/env python3
"""Tests of scripts/regression.py with a bench that writes the journal entries that each test sets."""
import json
import pathlib
import stat
import subprocess
import sys
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "regression.py"
# Stands in for the users' bench: notes its arguments and leaves the entry given for the site.
BENCH = """#!/usr/bin/env python3
import os, pathlib, sys
site = pathlib.Path(sys.argv[2]).stem
with open("calls.txt", "a") as calls:
    calls.write(" ".join(sys.argv[1:]) + "\\n")
entry = pathlib.Path("given") / (site + ".json")
if entry.exists():
    (pathlib.Path("journal") / f"{os.getpid()}-{site}.json").write_text(entry.read_text())
else:
    sys.exit("no room for more threads")
"""


def day(name, slot, worth, rules=(), gate=True, fault=None):
    return {"name": name, "slot": slot, "G": worth, "rules": {rule: 1 for rule in rules},
            "gate": gate, "fault": fault, "parts": None if fault else []}


class RegressionTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.root = pathlib.Path(self.folder.name)
        for name in ("journal", "given", "sites"):
            (self.root / name).mkdir()
        bench = self.root / "bench"
        bench.write_text(BENCH)
        bench.chmod(bench.stat().st_mode | stat.S_IXUSR)
        self.landed = {}

    def tearDown(self):
        self.folder.cleanup()

    def add(self, site, days, landed=None, machines=7):
        (self.root / "sites" / f"{site}.toml").write_text(
            f'machines = [{{ class = "front", count = {machines - 1} }}, {{ class = "front", count = 1 }}]\n')
        if days is not None:
            entry = {"site": site, "cmd": "score", "at": ["a", "b"], "ok": True, "error": None,
                     "score": 0.9, "days": days}
            (self.root / "given" / f"{site}.json").write_text(json.dumps(entry))
        self.landed[site] = {"file": f"{site}.toml"}
        if landed is not None:
            self.landed[site]["figures"] = {"worth": landed, "score": 1, "gate": True, "broken": []}

    def run_script(self, *options):
        landed = self.root / "landed.json"
        landed.write_text(json.dumps(self.landed))
        return subprocess.run(
            [sys.executable, str(SCRIPT), "--bench", str(self.root / "bench"), "--sites",
             str(self.root / "sites"), "--root", str(self.root), "--landed", str(landed), *options],
            capture_output=True, text=True, check=False)

    def test_a_change_within_the_noise_is_no_fall(self):
        self.add("calm", [day("quiet-1", "quiet", 0.1), day("trouble-1", "trouble", 0.5),
                          day("scale-1", "scale", 0.6), day("fresh-1", "trouble", 0.0)], landed=0.57)
        result = self.run_script()
        self.assertEqual(result.returncode, 0, result.stdout)
        self.assertIn("0.550", result.stdout)  # Neither the quiet nor the fresh day counts.

    def test_a_fall_fails(self):
        self.add("fallen", [day("trouble-1", "trouble", 0.5)], landed=0.54)
        result = self.run_script()
        self.assertEqual(result.returncode, 1)
        self.assertIn("fell by 0.040", result.stdout)

    def test_a_broken_rule_fails_also_on_the_day_that_was_drawn(self):
        self.add("broken", [day("trouble-1", "trouble", 0.5),
                            day("fresh-1", "trouble", 0.5, rules=["ONE"])], landed=0.5)
        result = self.run_script()
        self.assertEqual(result.returncode, 1)
        self.assertIn("broken: ONE", result.stdout)

    def test_a_failed_gate_fails(self):
        self.add("floored", [day("trouble-1", "trouble", 0.5, gate=False)])
        self.assertEqual(self.run_script().returncode, 1)

    def test_a_deployment_that_is_not_played_is_told_and_the_others_go_on(self):
        self.add("away", None)
        self.add("ended", [day("trouble-1", "trouble", 0, fault="no room for more threads")])
        self.add("calm", [day("trouble-1", "trouble", 0.5)], landed=0.5)
        result = self.run_script()
        self.assertEqual(result.returncode, 2)
        self.assertEqual(result.stdout.count("not played"), 2)
        self.assertIn("no room for more threads", result.stdout)
        self.assertIn("calm", result.stdout)

    def test_days_at_once_go_by_the_number_of_machines(self):
        self.add("small", [day("trouble-1", "trouble", 0.5)], machines=7)
        self.add("large", [day("trouble-1", "trouble", 0.5)], machines=295)
        self.run_script()
        calls = (self.root / "calls.txt").read_text()
        self.assertIn("small.toml --jobs 6", calls)
        self.assertIn("large.toml --jobs 2", calls)

    def test_an_entry_of_an_earlier_run_is_not_taken_for_this_one(self):
        self.add("old", None, landed=0.5)
        entry = {"site": "old", "cmd": "score", "at": ["a", "z"], "ok": True, "error": None,
                 "score": 1, "days": [day("trouble-1", "trouble", 0.5)]}
        (self.root / "journal" / "earlier.json").write_text(json.dumps(entry))
        self.assertEqual(self.run_script().returncode, 2)

    def test_new_figures_are_kept_when_asked_for(self):
        self.add("calm", [day("trouble-1", "trouble", 0.6)], landed=0.5)
        self.run_script()
        self.assertEqual(json.loads((self.root / "landed.json").read_text()), self.landed)
        self.run_script("--update")
        kept = json.loads((self.root / "landed.json").read_text())
        self.assertEqual(kept["calm"]["figures"]["worth"], 0.6)


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1])
