"""Tests of scripts/check_spec.py: what must fail, fails."""
import pathlib
import subprocess
import sys
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parents[2] / "scripts" / "check_spec.py"
SOUND_MODEL = """
byte count;
active proctype Counter() {
  do
  :: atomic { count < 3 -> count++ }
#ifndef WITHOUT_STOP
  :: count == 3 -> break
#endif
  od
}
"""
MARKED_STEP = "active proctype Never() { if :: false -> count = 0 /* chart a: b -c-> d */ :: else fi }"


def check(models, variants):
    """Returns (exit status, output) of the check of a folder with these files."""
    with tempfile.TemporaryDirectory() as folder:
        for name, text in models.items():
            pathlib.Path(folder, name).write_text(text)
        pathlib.Path(folder, "variants.txt").write_text(variants)
        result = subprocess.run([sys.executable, str(SCRIPT), "--spec", folder],
                                capture_output=True, text=True)
        return result.returncode, result.stdout + result.stderr


class CheckSpecTest(unittest.TestCase):
    def test_sound_model_with_violated_variant_passes(self):
        status, output = check({"m.pml": SOUND_MODEL}, "m.pml -DWITHOUT_STOP")
        self.assertEqual(status, 0, output)
        self.assertIn("2 passed, 0 failed", output)

    def test_violated_model_fails(self):
        status, output = check({"m.pml": SOUND_MODEL.replace("break", "assert(count < 3); break")},
                               "m.pml -DWITHOUT_STOP")
        self.assertEqual(status, 1, output)
        self.assertIn("assertion violated", output)

    def test_variant_without_violation_fails(self):
        status, output = check({"m.pml": SOUND_MODEL.replace("#ifndef", "#ifdef").replace(
            "#endif", "#else\n  :: count == 3 -> break\n#endif")}, "m.pml -DWITHOUT_STOP")
        self.assertEqual(status, 1, output)
        self.assertIn("NO violation found", output)

    def test_rule_without_variant_fails(self):
        status, output = check({"m.pml": SOUND_MODEL}, "")
        self.assertEqual(status, 1, output)
        self.assertIn("variants.txt lacks m.pml -DWITHOUT_STOP", output)

    def test_search_cut_short_fails(self):
        endless = SOUND_MODEL.replace("byte", "int").replace("3", "300000")
        status, output = check({"m.pml": endless}, "m.pml -DWITHOUT_STOP")
        self.assertEqual(status, 1, output)
        self.assertIn("search cut short", output)

    def test_chart_step_never_reached_fails(self):
        status, output = check({"m.pml": SOUND_MODEL + MARKED_STEP}, "m.pml -DWITHOUT_STOP")
        self.assertEqual(status, 1, output)
        self.assertIn("chart steps never reached", output)


if __name__ == "__main__":
    unittest.main()
