#!/usr/bin/env python3
"""A request that crashes engines is found also where an engine's end doesn't show at once.

The story: whether an engine had ended was asked once, at the moment at which an answer broke off. An engine whose
port closed some milliseconds later still took that connection, and was held to live; one that fell silent was
left after a while, and nobody looked at it again. Neither end was held against the request, which was sent on and
on: 28 and 48 engines ended under the two requests of the one scenario, 12 and 10 under those of the other.

usage: poison_late_end_test.py BUILD_FOLDER [NAME]
"""
from poison_request_test import join, main, soak

LEAVING_SECONDS = 0.5  # Less than the least silence after which a gateway tries another engine.
ASKED_SECONDS = 22  # An end that shows late makes each round of a request longer.


def ask_two(scenario, ending, patience=soak.CALLER_SECONDS):
    scenario.world.seen.ending = ending
    join(scenario.ask([scenario.world.new_poison("again"),
                       scenario.world.new_poison("stream-again")], ASKED_SECONDS, patience))


def engines_fall_silent(scenario):
    """Nothing is reset or closed until the engine is back; the requests have left it by then."""
    ask_two(scenario, "silent")


def engines_close_their_ports_late(scenario):
    """When their connections break, such engines still take new ones."""
    ask_two(scenario, "closes late")


def callers_leave_silent_engines(scenario):
    """The caller has left before its gateway does; then no second engine is tried."""
    ask_two(scenario, "silent", LEAVING_SECONDS)


if __name__ == "__main__":
    main([engines_fall_silent, engines_close_their_ports_late, callers_leave_silent_engines])
