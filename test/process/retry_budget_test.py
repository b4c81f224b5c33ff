#!/usr/bin/env python3
"""The retries of all gateways together stay within the budget while gateways are killed, rolled and suspended.

Each scenario is a world of seven gateways whose engines reject most requests; it is judged like a soak.

usage: retry_budget_test.py BUILD_FOLDER [NAME]
"""
import threading
import time

import scenarios
from scenarios import judge  # Makes the soak's folder known.

import soak

NODES, CALLERS = 7, 24
AT_ONCE = 2
REJECTED_SHARE = 0.95
REJECT_SECONDS = 14.0
KILL_SECONDS = (1.0, 4.0, 7.0)  # After the engines began to reject.
STEP_SECONDS = 0.4
PAUSE_SECONDS = 0.5  # With it, the slack is a third of what is allowed, as on deployments of this size.


def make(build):
    scenario = scenarios.Scenario(build, NODES)
    scenario.set_event_seconds(soak.standin.EVENT_SECONDS)
    scenario.world.pause_seconds = PAUSE_SECONDS
    scenario.start_callers(CALLERS)
    return scenario


def reject_while(scenario, disturb):
    """Engines reject most requests; `disturb` gets the time at which they began."""
    world = scenario.world
    time.sleep(judge.CONTACT_SECONDS + judge.RETRY_WINDOW_SECONDS)
    world.reject(world.engines, REJECTED_SHARE)
    start = time.monotonic()
    disturb(start)
    time.sleep(max(0.0, start + REJECT_SECONDS - time.monotonic()))
    world.reject(world.engines, 0.0)
    print_worst(world)


def print_worst(world):
    for service, (most, _, allowed) in judge.worst_windows(list(world.calls), world.seen_by_judge()).items():
        print(f"{service}: {most} retries in the worst window, allowed {allowed:.1f}", flush=True)


def all_are_killed_three_times(scenario):
    def disturb(start):
        for second in KILL_SECONDS:
            time.sleep(max(0.0, start + second - time.monotonic()))
            scenario.world.nodes_killed()
    reject_while(scenario, disturb)


def one_is_killed_after_the_other(scenario):
    def disturb(start):
        while time.monotonic() < start + REJECT_SECONDS - 1:
            scenario.world.node_killed(scenario.draw)
            time.sleep(STEP_SECONDS)
    reject_while(scenario, disturb)


def all_are_rolled(scenario):
    def disturb(_start):
        rolls = []
        for node in scenario.world.nodes:
            rolls.append(threading.Thread(target=scenario.world.roll, args=(node,)))
            rolls[-1].start()
            time.sleep(STEP_SECONDS)
        for each in rolls:
            each.join()
    reject_while(scenario, disturb)


def some_are_suspended(scenario):
    def disturb(start):
        while time.monotonic() < start + REJECT_SECONDS - 1:
            scenario.world.node_frozen(scenario.draw)
    reject_while(scenario, disturb)


SCENARIOS = [all_are_killed_three_times, one_is_killed_after_the_other, all_are_rolled, some_are_suspended]


if __name__ == "__main__":
    scenarios.play_all(make, SCENARIOS, AT_ONCE)
