#!/usr/bin/env python3
"""No request that waits at its engine begins on old weights past the bound of newer ones.

The story: an operator named new weights while engines were busy and orders to them came late. A request
that had been sent to an engine with old weights in time waited there, and began when the bound had passed.
The bound was compared with the instant of the send and the wait that was expected then; nothing looked at it
again while the request waited.

The evidence: on the code before the mend both scenarios are red, and the gateways log for each such request
"bound ends in 1333 ms, first event expected in 7 ms" at the send, and its first event 3.3 s later. In a play of
deploy/days/versions-slow-engines.toml 289 requests began so, while all nodes dated the versions right.

usage: late_begin_test.py BUILD_FOLDER [NAME]
"""
import sys
import time

import old_weights_test
from old_weights_test import Scenario, judge, soak

# From a version's acknowledgement until its engines become slow, and for how long they are.
SLOW_AFTER_SECONDS, SLOW_SECONDS = judge.VERSION_SECONDS - 2.5, 6
# The prompt of a call, 300 tokens, is then read in 0.9 s, and those before it take as long.
SLOWNESS = 150
HANG_AFTER_SECONDS, HANG_SECONDS = judge.VERSION_SECONDS - 2, 4


def what_waits_at_slow_engines_does_not_begin(scenario):
    """Engines that can't be moved read prompts ever more slowly as the bound comes near."""
    scenario.refuse_orders()
    scenario.world.weights_named()
    time.sleep(SLOW_AFTER_SECONDS)
    for engine in scenario.models:
        engine.slowness = SLOWNESS
    time.sleep(SLOW_SECONDS)
    for engine in scenario.models:
        engine.slowness = 1.0


def what_an_engine_held_while_it_hung_does_not_begin(scenario):
    """Engines that can't be moved hang over the end of the bound, and go on with what they hold."""
    scenario.refuse_orders()
    scenario.world.weights_named()
    time.sleep(HANG_AFTER_SECONDS)
    for engine in scenario.models:
        engine.hang()
    time.sleep(HANG_SECONDS)
    for engine in scenario.models:
        engine.go_on()
    time.sleep(1)


SCENARIOS = [what_waits_at_slow_engines_does_not_begin,
             what_an_engine_held_while_it_hung_does_not_begin]


if __name__ == "__main__":
    old_weights_test.main(SCENARIOS)
