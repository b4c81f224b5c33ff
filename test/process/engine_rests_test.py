#!/usr/bin/env python3
"""Engines that turn requests away and ask for rest get it from the gateways that they asked, and callers lose nothing
while others serve.

Each scenario is a world as in engine_leaves_test.py.

usage: engine_rests_test.py BUILD_FOLDER [NAME]
"""
import time

import scenarios
from engine_leaves_test import AT_ONCE, REST, WATCHED_SECONDS, ask_rest, expect_served, quick_refusal
from engine_limit_test import Scenario

import soak


def some_engines_ask_for_rest(scenario):
    """Others serve meanwhile, and in the end those that rested have work again."""
    resting = scenario.busiest(scenario.engines_of(soak.MODELS), 3) + scenario.engines_of(soak.PLAIN, 1)
    start = time.monotonic()
    ask_rest(resting, REST)
    time.sleep(2 * WATCHED_SECONDS)
    expect_served(scenario, start, time.monotonic() - 1)
    tries = [len(scenario.arrivals_at(engine, start, time.monotonic())) for engine in resting]
    print(f"tries in {2 * WATCHED_SECONDS} s of rests of {REST} s: {tries}", flush=True)
    ask_rest(resting, None)
    time.sleep(float(REST) + 2)
    now = time.monotonic()
    for engine in resting:
        assert len(scenario.arrivals_at(engine, now - 2, now)) > 3, f"{engine.id} has nothing to do"


def rests_of_many_lengths(scenario):
    """Each such answer counts for itself: a later, shorter one does not end a longer one."""
    resting = scenario.some_engines()
    end = time.monotonic() + 2 * WATCHED_SECONDS
    while time.monotonic() < end:
        for engine in resting:
            engine.ask_rest(scenario.draw.choice(("1", "2", "5", "0.4", "2.5")))
        time.sleep(0.4)
    ask_rest(resting, None)


def all_engines_rest(scenario):
    """What nobody serves is refused at once, with the time to come back."""
    start = time.monotonic()
    quick = quick_refusal(scenario, start)
    ask_rest(scenario.world.engines, REST)
    time.sleep(2.5)
    calls = scenario.calls_between(start + 1, time.monotonic() - 0.3)
    refused = scenario.middle_time(calls)
    print(f"{len(calls)} calls, refused in {refused * 1000:.1f} ms, {quick * 1000:.1f} ms allowed", flush=True)
    assert all(call["retry_after"] for call in calls if call["status"] == 503)
    assert refused <= quick, f"refused in {refused * 1000:.1f} ms"
    ask_rest(scenario.world.engines, None)
    time.sleep(float(REST) + 2)
    now = time.monotonic()
    expect_served(scenario, now - 1, now - 0.2)


def odd_rests_are_none(scenario):
    """What is no number of seconds asks for no rest."""
    odd = scenario.engines_of(soak.PLAIN, 1)
    start = time.monotonic()
    end = start + WATCHED_SECONDS
    while time.monotonic() < end:
        ask_rest(odd, scenario.draw.choice(soak.ODD_REST_TEXTS))
        time.sleep(0.2)
        ask_rest(odd, None)
        time.sleep(0.2)
    rate = len(scenario.arrivals_at(odd[0], start, end)) / WATCHED_SECONDS
    assert rate > 2, f"{rate} requests a second at an engine that asks for no rest"


SCENARIOS = [some_engines_ask_for_rest, rests_of_many_lengths, all_engines_rest, odd_rests_are_none]


if __name__ == "__main__":
    scenarios.play_all(Scenario, SCENARIOS, AT_ONCE)
