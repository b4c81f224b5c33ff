"""How scenarios of real gateways, and seeds of the soak, are played: some beside each other, each judged by
the users' rules, with one verdict for all.
"""
import concurrent.futures
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SOAK_FOLDER = ROOT / "test" / "platform_soak"
sys.path.insert(0, str(SOAK_FOLDER))

import judge  # noqa: E402  (the path above comes first)


PATIENCE_SECONDS = 40


def wait_for(condition, what):
    """Waits until the condition holds. Raises AssertionError, which names what was waited for, where it does not."""
    end = time.monotonic() + PATIENCE_SECONDS
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"in vain: {what}")


def end_and_judge(world, callers):
    """Ends callers and gateways. Raises where a rule was broken."""
    world.stopping.set()
    for caller in callers:
        caller.join()
    for each in world.returning:
        each.join()
    world.close()
    found = judge.judge(world.calls, world.seen.runs, world.seen.orders, world.seen_by_judge())
    assert not any(found.values()), {rule: faults[:3] for rule, faults in found.items() if faults}


def play(make, run):
    """make: gives a scenario with `world` and `end()`; run: its story. Returns whether it went well."""
    scenario = make(sys.argv[1])
    try:
        run(scenario)
        scenario.end()
        print(f"ok   {run.__name__}", flush=True)
        return True
    except AssertionError as fault:
        print(f"FAIL {run.__name__}: {str(fault)[:1500]}", flush=True)
        return False
    finally:
        scenario.world.stopping.set()
        scenario.world.close()


def play_all(make, stories, at_once):
    """Plays those whose names hold the second argument, and exits."""
    wanted = sys.argv[2] if len(sys.argv) > 2 else ""
    chosen = [run for run in stories if wanted in run.__name__]
    with concurrent.futures.ThreadPoolExecutor(at_once) as pool:
        went_well = list(pool.map(lambda run: play(make, run), chosen))
    sys.exit(0 if all(went_well) else 1)


def play_soaks(plays):
    """plays: the options of each play. Plays all beside each other, and exits."""
    def start(options):
        command = [sys.executable, str(SOAK_FOLDER / "soak.py"), sys.argv[1], *map(str, options)]
        return subprocess.run(command, stdout=subprocess.PIPE, text=True)
    with concurrent.futures.ThreadPoolExecutor(len(plays)) as pool:
        played = list(pool.map(start, plays))
    print("\n".join(each.stdout for each in played))
    sys.exit(max(each.returncode for each in played))
