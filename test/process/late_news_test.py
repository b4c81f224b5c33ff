#!/usr/bin/env python3
"""What the operators' store tells late is held to its bound all the same.

The story: connections to the store went silent, without a reset, just before an operator named new weights and
engines announced their end. The gateways that read the store waited for the answers to their watches, up to nine
and six seconds. Requests began on old weights past their bound, and were sent to engines that were to be left
alone. News were dated by their arrival, and what was late was held to a bound that began late.

The evidence: on the code before the mend both scenarios are red, and the gateways log the new version 8.5 s after
it was named; those that heard of it "as another node knows" had the age of its arrival there.

usage: late_news_test.py BUILD_FOLDER [NAME]
"""
import time

import old_weights_test
from old_weights_test import WATCHED_SECONDS, judge, soak

# A store whose watches are asked anew has been heard within this.
ASKED_ANEW_SECONDS = 0.3
# From the announcement of an engine's end until nothing may reach it, as on the users' deployments; gateways
# are held to it again when nothing has struck them for as long.
DRAIN_SECONDS = judge.CONTACT_SECONDS


def silence_connections(world):
    """All connections to the store go silent just after the watches were asked anew."""
    world.store.put("versions", "other", {"model": "other", "version": int(time.monotonic())})
    engine = world.engines[-1]
    engine.register()
    time.sleep(ASKED_ANEW_SECONDS)
    for node in world.nodes:
        node.strike()
    world.store.silence_connections()


def the_bound_of_weights_is_kept(scenario):
    """Weights that are named on silent connections serve all requests within their bound."""
    scenario.refuse_orders()
    silence_connections(scenario.world)
    scenario.world.weights_named()
    time.sleep(WATCHED_SECONDS)


def engines_that_leave_are_left_alone(scenario):
    """Nothing reaches engines later than the bound after they announced their end."""
    world = scenario.world
    silence_connections(world)
    leaving = scenario.models[:-2]
    for engine in leaving:
        spec = dict(world.store.objects[("servers", engine.id)]["spec"], state="draining")
        world.store.put("servers", engine.id, spec)
    announced_at = time.monotonic()
    time.sleep(DRAIN_SECONDS * 3)
    ids = {engine.id for engine in leaving}
    late = [run["arrived"] - announced_at for run in world.seen.runs
            if run["engine"] in ids and run["arrived"] > announced_at + DRAIN_SECONDS]
    assert not late, f"{len(late)} requests reached them up to {max(late):.2f} s after that"


SCENARIOS = [the_bound_of_weights_is_kept, engines_that_leave_are_left_alone]


if __name__ == "__main__":
    old_weights_test.main(SCENARIOS)
