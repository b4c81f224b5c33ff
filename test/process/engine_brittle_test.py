#!/usr/bin/env python3
"""Engines that say they are brittle do not fall: all nodes together send them no more than they have room for.

The story: engines of a service said in all their answers that they survive few rejections a second and let few
requests wait. The nodes sent on as before, retried what was rejected at the next engine, and felled one after the
other (docs/incidents/engine-partition.md).

usage: engine_brittle_test.py BUILD_FOLDER [NAME]
"""
import random
import threading
import time

import scenarios
from scenarios import judge  # Makes the soak's folder known.

import soak

NODES = 5
AT_ONCE = 1  # A scenario takes half of a machine's cores for its callers and engines.
BRITTLE_SECONDS = 12.0
BUSY_EVENT_SECONDS = 0.12  # A stream takes its place for six times so long.
PAUSE_SECONDS = 0.05


class Scenario(scenarios.Scenario):
    def __init__(self, build):
        super().__init__(build, NODES)
        self.set_event_seconds(BUSY_EVENT_SECONDS)
        time.sleep(judge.CONTACT_SECONDS)  # All gateways are in touch when the story begins.

    def call_with(self, count, service=soak.MODELS):
        """Starts callers that ask for this service all the while, and come back when they are told to."""
        kinds = [kind for kind, entry in soak.KINDS.items() if entry[2] == service]
        self.start_callers(count, self.keep_calling, kinds)

    def keep_calling(self, number, kinds):
        draw = random.Random(number)
        while not self.world.stopping.is_set():
            call = self.world.call(draw.choice(kinds), "k-open", draw.choice(self.world.nodes))
            time.sleep(float(call["retry_after"] or 0) + PAUSE_SECONDS)

    def be_brittle(self, service, survives, seconds=BRITTLE_SECONDS):
        world, start = self.world, time.monotonic()
        world.set_brittle(service, survives)
        time.sleep(seconds)
        world.set_brittle(service, None)
        calls = [call for call in world.calls if start + judge.CONTACT_SECONDS <= call["sent_at"] and call["ended_at"]
                 and soak.KINDS[call["kind"]][2] == service]
        share = sum(map(judge.is_served, calls)) / max(1, len(calls))
        falls = [fall for fall in world.seen.falls if fall["service"] == service and fall["at"] >= start]
        print(f"{service}, {survives}: {len(falls)} falls, served {share:.3f} of {len(calls)}", flush=True)
        return share


def engines_have_room_for_all(scenario):
    """There are more places than callers, so nobody need be refused."""
    scenario.call_with(150)
    assert scenario.be_brittle(soak.MODELS, 8) >= 0.95


def engines_lack_room(scenario):
    """More callers than places: some are refused by the nodes, none by so many engines that one falls."""
    scenario.call_with(220)
    scenario.be_brittle(soak.MODELS, 8)


def plain_engines_lack_room(scenario):
    scenario.call_with(90, soak.PLAIN)
    for engine in scenario.world.engines:
        if engine.service == soak.PLAIN:
            engine.answer_seconds = 0.4
    scenario.be_brittle(soak.PLAIN, 8)


def nodes_are_struck_meanwhile(scenario):
    """Whoever counts for an engine may be killed or stopped, and a burst comes."""
    scenario.call_with(60)
    world = scenario.world
    striking = threading.Thread(target=strike_nodes, args=(world,))
    striking.start()
    time.sleep(4.0)
    threading.Timer(4.0, scenario.call_with, (120,)).start()
    scenario.be_brittle(soak.MODELS, 8)
    striking.join()


def strike_nodes(world):
    draw = random.Random(7)
    end = time.monotonic() + judge.CONTACT_SECONDS + BRITTLE_SECONDS
    while time.monotonic() < end:
        draw.choice([world.node_killed, world.node_stopped])(draw)
        time.sleep(1.0)


SCENARIOS = [engines_have_room_for_all, engines_lack_room, plain_engines_lack_room, nodes_are_struck_meanwhile]


if __name__ == "__main__":
    scenarios.play_all(Scenario, SCENARIOS, AT_ONCE)
