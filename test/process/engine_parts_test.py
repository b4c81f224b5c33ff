#!/usr/bin/env python3
"""A part of prompts that crashes engines is found by all nodes together, and sound requests are served meanwhile.

The story: requests of one kind, no two alike but for one part of their prompts, crashed the engine that began to
answer them; 49 ended within half a minute. The quarantine knew whole requests only, and each of these crashed one
engine (docs/incidents/poison-parts.md).

usage: engine_parts_test.py BUILD_FOLDER [NAME]
"""
import random
import threading
import time

import scenarios
from scenarios import judge  # Makes the soak's folder known.

import soak

NODES, CALLERS, BAD_CALLERS = 5, 20, 4
AT_ONCE = 4
CUTS, CUT_SECONDS, CUT_PAUSE_SECONDS = 3, 6.0, 1.5
BAD_SECONDS = 16.0
SERVED_SHARE = 0.95


class Scenario(scenarios.Scenario):
    def __init__(self, build):
        super().__init__(build, NODES, "--zones", "2")
        self.start_callers(CALLERS)
        time.sleep(2 * judge.CONTACT_SECONDS)  # All gateways are in touch, and calm is on record.

    def send_bad(self, is_first=False, seconds=BAD_SECONDS):
        part = self.world.new_poison_part()
        callers = [threading.Thread(target=self.world.keep_asking_with_part, daemon=True,
                                    args=(part, is_first, seconds, random.Random(number)))
                   for number in range(BAD_CALLERS)]
        for caller in callers:
            caller.start()
        return callers

    def end(self):
        for part, crashed in judge.crashes_of_parts(self.world.seen_by_judge()).items():
            print(f"part {part}: {len(crashed)} engines ended in {crashed[-1] - crashed[0]:.1f} s", flush=True)
        super().end()


def join(threads):
    for each in threads:
        each.join()


def a_middle_part(scenario):
    join(scenario.send_bad())


def the_first_part(scenario):
    join(scenario.send_bad(is_first=True))


def nodes_are_killed_meanwhile(scenario):
    bad = scenario.send_bad(seconds=BAD_SECONDS + 6)
    for _ in range(4):
        time.sleep(judge.CONTACT_SECONDS)
        scenario.world.node_killed(scenario.draw)
    join(bad)


def half_of_the_engines_die_at_once(scenario):
    """Popular parts run at all of them, and none is blamed."""
    world = scenario.world
    for _ in range(3):
        with world.engines_turn:
            dying = world.engines[:soak.MODEL_ENGINES // 2]
            for engine in dying:
                engine.crash(keeps_entry=True)
            time.sleep(0.5)
            world.engines[:len(dying)] = [world.new_engine(old.number, old.service) for old in dying]
        time.sleep(judge.CONTACT_SECONDS)
    start = time.monotonic()
    time.sleep(judge.CONTACT_SECONDS)
    served = [call for call in world.calls if call["sent_at"] > start and call["ended_at"]]
    share = sum(map(judge.is_served, served)) / len(served)
    assert share >= SERVED_SHARE, f"{share:.3f} served after engines died"


def cut_zones_off(scenario):
    """Three of five nodes lose their links to a zone of live engines, again and again. Returns the time after it."""
    world = scenario.world
    for _ in range(CUTS):
        world.cut_zone_off(world.nodes[:3], soak.ZONES[1], CUT_SECONDS)
        time.sleep(CUT_PAUSE_SECONDS)
    return time.monotonic()


def assert_served_since(world, start):
    calls = [call for call in world.calls if call["sent_at"] > start and call["ended_at"]]
    share = sum(map(judge.is_served, calls)) / len(calls)
    assert share >= SERVED_SHARE, f"{share:.3f} served after the zone is back"


def quarantined(world):
    return [name for kind, name in world.store.objects if kind == "quarantine"]


def a_zone_of_live_engines_is_cut_off(scenario):
    """Popular parts run at all of them: no engine ended, so nothing is quarantined."""
    start = cut_zones_off(scenario)
    time.sleep(judge.CONTACT_SECONDS)
    assert not quarantined(scenario.world), f"quarantined: {quarantined(scenario.world)}"
    assert_served_since(scenario.world, start)


def a_bad_part_beside_a_zone_that_is_cut_off(scenario):
    """The bad part is found in time, by the judge's rules, and no sound one."""
    bad = scenario.send_bad(seconds=CUTS * (CUT_SECONDS + CUT_PAUSE_SECONDS))
    start = cut_zones_off(scenario)
    join(bad)
    time.sleep(2 * judge.CONTACT_SECONDS)  # As long again, so that requests are sent in the time that is judged.
    assert_served_since(scenario.world, start + judge.CONTACT_SECONDS)


SCENARIOS = [a_middle_part, the_first_part, nodes_are_killed_meanwhile, half_of_the_engines_die_at_once,
             a_zone_of_live_engines_is_cut_off, a_bad_part_beside_a_zone_that_is_cut_off]


if __name__ == "__main__":
    scenarios.play_all(Scenario, SCENARIOS, AT_ONCE)
