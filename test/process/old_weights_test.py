#!/usr/bin/env python3
"""No request begins on old weights past the bound of newer ones.

The story: an operator named new weights while all gateways were restarted one after the other.
Requests began on the old weights more than four seconds after the bound. Each gateway that was told
to stop gave up its turn to move engines at once, though it served its callers for up to eight
seconds more; those just started did not move engines yet, so nobody did for nine seconds. And
the gateways sent to engines that were too old: where all were, to the newest half, and after a
restart, when nobody knew since when the version was named, to all that were not behind most others.

The evidence: in a play of ours the logs of all gateways have no order between the last turn that was
given up and the first gateway that was up for a second again; those that sent to old engines had
logged the version as named "nobody here knows when" (docs/incidents/old-weights.md).

usage: old_weights_test.py BUILD_FOLDER [NAME]
"""
import signal
import threading
import time

import scenarios
from scenarios import judge  # Makes the soak's folder known.

import soak

NODES = 3
STREAMS_OF_A_NODE = 6
# With streams of 3.3 s that begin all the time a gateway that stops lives for 6 s more.
EVENT_SECONDS = 0.55
# The bound, and how long requests are watched after it.
WATCHED_SECONDS = judge.VERSION_SECONDS + 4


class Scenario(scenarios.Scenario):
    """A world in which callers stream through every gateway all the time."""

    def __init__(self, build):
        super().__init__(build, NODES)
        self.models = [each for each in self.world.engines if each.service == soak.MODELS]
        # Engines are ordered by a gateway that has settled: it has the turn when the story begins.
        self.world.weights_named()
        self.world.wait_until_moved()
        for engine in self.models:
            engine.event_seconds = EVENT_SECONDS
        self.start_callers(STREAMS_OF_A_NODE * NODES, self.stream)
        time.sleep(soak.standin.EVENTS * EVENT_SECONDS)

    def stream(self, number):
        node = self.world.nodes[number % NODES]
        time.sleep(number / NODES / STREAMS_OF_A_NODE * soak.standin.EVENTS * EVENT_SECONDS)
        while not self.world.stopping.is_set():
            self.world.call("stream-again", "k-open", node)
            time.sleep(0.02)

    def refuse_orders(self):
        """Engines are kept from new weights, as if each of them were busy with another order."""
        for engine in self.models:
            engine.fault = "stubborn"


def moves_go_on_while_all_gateways_stop(scenario):
    """With every gateway told to stop, those that still live move the engines: the last of them
    ends only after all engines hold the version that was named meanwhile."""
    world = scenario.world
    stops = [threading.Thread(target=node.end, args=(signal.SIGTERM,)) for node in world.nodes]
    for each in stops:
        each.start()
    world.weights_named()
    newest = world.weights
    while any(engine.version < newest for engine in scenario.models):
        living = [node for node in world.nodes if node.process.poll() is None]
        assert living, "all gateways ended and left engines on old weights"
        time.sleep(0.02)
    for each in stops:
        each.join()
    for node in world.nodes:
        node.start()
    world.wait_until_served()


def no_engine_that_is_too_old_is_sent_to(scenario):
    """Where engines can't be moved, nothing is sent to them past the bound."""
    scenario.refuse_orders()
    scenario.world.weights_named()
    time.sleep(WATCHED_SECONDS)


def after_a_restart_of_all_the_bound_holds(scenario):
    """Gateways that all died do not know since when a version is named, and keep its bound."""
    scenario.refuse_orders()
    scenario.world.weights_named()
    time.sleep(judge.VERSION_SECONDS - 2)
    scenario.world.nodes_killed()
    time.sleep(WATCHED_SECONDS - judge.VERSION_SECONDS + 4)


def a_restarted_gateway_knows_the_bound_of_the_others(scenario):
    """A gateway that is restarted shortly after a version was named learns from the others since
    when, and sends to the engines that the others send to: none of its requests is refused while
    the old weights may still serve."""
    world = scenario.world
    scenario.refuse_orders()
    world.weights_named()
    named_at = time.monotonic()
    node = world.nodes[0]
    node.end()
    node.start()
    while world.call("again", "k-open", node)["status"] != 200:
        time.sleep(0.05)
    served_at = time.monotonic()
    limit = named_at + judge.VERSION_SECONDS - 1.5  # A second is kept free for what waits.
    time.sleep(max(0.0, limit - time.monotonic()))
    refused = [call for call in world.calls if call["node"] == node.number
               and call["status"] == 503 and served_at < call["sent_at"] < limit]
    assert not refused, f"{len(refused)} requests were refused"


SCENARIOS = [moves_go_on_while_all_gateways_stop, no_engine_that_is_too_old_is_sent_to,
             after_a_restart_of_all_the_bound_holds,
             a_restarted_gateway_knows_the_bound_of_the_others]


def main(stories):
    scenarios.play_all(Scenario, stories, 1)


if __name__ == "__main__":
    main(SCENARIOS)
