#!/usr/bin/env python3
"""Gateways follow a store that came back from an old copy of itself: what is acknowledged afterwards is in force in its
bound, and nothing that was in force before comes back older.

Each scenario is a world of five gateways, ten engines of a model and three plain ones, with callers that ask all the
while and heartbeats of engines that raise the store's revision; it is judged like a soak.

usage: store_restored_test.py BUILD_FOLDER [NAME]
"""
import threading
import time

import scenarios
from engine_limit_test import Scenario
from scenarios import judge  # Makes the soak's folder known.

import soak

AT_ONCE = 2
COPY_SECONDS = 4.0
# Heartbeats a second before and after: the fewer come after, the longer the store's revisions lie behind those that
# gateways have seen.
BEATS, BEATS_AFTER = 60, 2
# Operators and engines write again within this, and gateways that were turned away come back to the store.
SETTLED_SECONDS = judge.CONTACT_SECONDS + 0.5
WEIGHTS_SECONDS = 11.0  # Until all engines hold named weights.
AWAY_SECONDS = 0.7
ORDERS_BEFORE = 4
# Operators write what was lost again so long after the store serves.
WRITTEN_AGAIN_SECONDS = 1.0


class Drill:
    """What a scenario does with the store of its world, and what it expects afterwards."""

    def __init__(self, scenario):
        self.scenario, self.world = scenario, scenario.world
        self.world.drill_series, self.world.beats = 1, BEATS
        self.world.start_beating()
        time.sleep(COPY_SECONDS + 1)

    def restore(self, copy=COPY_SECONDS, away=AWAY_SECONDS):
        """Goes back to a copy; what it lost is written again."""
        start = time.monotonic()
        for node in self.world.nodes:
            self.world.store.faults[node.number] = "refuse"
        self.world.beats = BEATS_AFTER
        lost = self.world.store.restore(copy)
        time.sleep(away)
        self.world.store.faults.clear()
        self.world.write_again(self.scenario.draw)
        self.world.rules["unstable"].append((start, time.monotonic()))
        print(f"{lost} revisions lost", flush=True)
        assert lost > 20, f"only {lost} revisions were lost"

    def change_all(self):
        """A row is added, a key revoked, an engine says that it leaves, another begins, and weights are named."""
        world, draw = self.world, self.scenario.draw
        world.change_config(draw)
        world.key_revoked(draw)
        place = next(n for n, engine in enumerate(world.engines) if engine.service == soak.PLAIN)
        self.left = world.engines[place]
        world.leaving.append(self.left)
        self.left.state = "draining"  # Said by its entry alone.
        self.left.register()
        world.seen.note(world.seen.left, life=self.left.life)
        self.added = world.engines[place] = world.new_engine(self.left.number, soak.PLAIN)
        world.weights_named()

    def expect_in_force(self, within=judge.CONFIG_SECONDS):
        """All that changed is in force at all nodes in its bound."""
        end = time.monotonic() + within
        while any(node.table_version() != self.world.version for node in self.world.nodes):
            held = [node.table_version() for node in self.world.nodes]
            assert time.monotonic() < end, f"tables {held} are not {self.world.version}"
            time.sleep(0.05)
        time.sleep(max(0.0, end - time.monotonic()))
        now = time.monotonic()
        time.sleep(2)
        late = self.scenario.arrivals_at(self.left, now, time.monotonic())
        assert not late, f"{len(late)} requests at an engine whose entry says that it leaves"
        came = self.scenario.arrivals_at(self.added, now, time.monotonic())
        assert len(came) > 2, f"{len(came)} requests at an engine that is new"
        self.world.wait_until_moved(WEIGHTS_SECONDS)


def changes_after_it_are_in_force(scenario):
    drill = Drill(scenario)
    drill.restore()
    time.sleep(SETTLED_SECONDS)
    drill.change_all()
    drill.expect_in_force()


def what_was_acknowledged_just_before_stays_in_force(scenario):
    """The copy lacks it, and it is written again."""
    drill = Drill(scenario)
    drill.change_all()
    time.sleep(judge.CONFIG_SECONDS)
    drill.restore(copy=judge.CONFIG_SECONDS + 1)
    drill.expect_in_force()


def twice_within_seconds(scenario):
    drill = Drill(scenario)
    drill.restore()
    time.sleep(1)
    drill.world.beats = BEATS
    time.sleep(1)
    drill.restore(copy=1.5)
    time.sleep(SETTLED_SECONDS)
    drill.change_all()
    drill.expect_in_force()


def while_gateways_are_started_anew(scenario):
    drill = Drill(scenario)
    rolling = threading.Thread(target=scenario.world.nodes_rolled, args=(scenario.draw,))
    rolling.start()
    time.sleep(1)
    drill.restore()
    rolling.join()
    time.sleep(SETTLED_SECONDS)
    drill.change_all()
    drill.expect_in_force()


def all_gateways_start_anew_before_anyone_sees_it(scenario):
    """A key is revoked, and the revocation is lost, while no gateway reaches the store; whoever knew the era before
    is gone when it serves again."""
    drill = Drill(scenario)
    world, start = drill.world, time.monotonic()
    for node in world.nodes:
        world.store.faults[node.number] = "reset"
    world.key_revoked(scenario.draw)
    world.nodes_killed()
    time.sleep(judge.REVOKE_SECONDS)
    world.store.restore(time.monotonic() - start + 0.5)
    world.store.faults.clear()
    time.sleep(WRITTEN_AGAIN_SECONDS)
    world.write_again(scenario.draw)
    world.rules["unstable"].append((start, time.monotonic()))
    time.sleep(SETTLED_SECONDS)
    drill.change_all()
    drill.expect_in_force()


def weights_are_being_moved(scenario):
    """Engines refuse orders with lower fences than they saw; nobody orders by what an old copy says."""
    drill = Drill(scenario)
    named = time.monotonic()
    scenario.world.weights_named()
    while len(scenario.world.seen.orders) < ORDERS_BEFORE:
        time.sleep(0.05)
    drill.restore(copy=time.monotonic() - named + 0.5, away=0.2)
    scenario.world.weights_named()
    scenario.world.wait_until_moved(WEIGHTS_SECONDS + judge.CONTACT_SECONDS)
    time.sleep(1)


SCENARIOS = [changes_after_it_are_in_force, what_was_acknowledged_just_before_stays_in_force,
             twice_within_seconds, while_gateways_are_started_anew, all_gateways_start_anew_before_anyone_sees_it,
             weights_are_being_moved]


if __name__ == "__main__":
    scenarios.play_all(Scenario, SCENARIOS, AT_ONCE)
