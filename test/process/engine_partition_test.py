#!/usr/bin/env python3
"""Nodes that are partitioned from all engines serve their callers through other nodes, blame no request for it, and
leave to others what needs the engines.

The story: some nodes lost their links to all engines for twelve seconds, while callers, the store and the other
nodes still reached them. They answered 503 to nearly everything that arrived: each could only try engine after
engine by itself (docs/incidents/engine-partition.md).

usage: engine_partition_test.py BUILD_FOLDER [NAME]
"""
import itertools
import threading
import time

import scenarios
from scenarios import judge  # Makes the soak's folder known.

import partition
import soak

NODES, CALLERS = 5, 30
AT_ONCE = 3
CUT_SECONDS = 9.0
AGAIN_SECONDS = 1.0  # After the end of a partition its nodes serve as before.
SERVED_SHARE = 0.95
VERSION_SECONDS = 8.0


class Scenario(scenarios.Scenario):
    def __init__(self, build):
        super().__init__(build, NODES)
        self.set_event_seconds(soak.standin.EVENT_SECONDS)
        self.start_callers(CALLERS)
        time.sleep(judge.CONTACT_SECONDS)  # All gateways are in touch when the story begins.

    def start_cut(self, nodes, way, seconds=CUT_SECONDS):
        cutting = threading.Thread(target=self.world.cut_off, args=(nodes, way, seconds))
        cutting.start()
        return cutting

    def share(self, start, end, nodes=None):
        calls = [call for call in self.world.calls if start <= call["sent_at"] <= end and call["ended_at"]
                 and (nodes is None or call["node"] in [node.number for node in nodes])]
        assert calls, "nobody called"
        return sum(map(judge.is_served, calls)) / len(calls)

    def cut(self, count, way, seconds=CUT_SECONDS):
        """Partitions the first nodes and expects them to serve soon, and again as before after the end."""
        cut, start = self.world.nodes[:count], time.monotonic()
        self.world.cut_off(cut, way, seconds)
        end = time.monotonic()
        time.sleep(AGAIN_SECONDS + 2)
        there = self.share(start + judge.CONTACT_SECONDS, end - 0.5, cut)
        others = self.share(start, end - 0.5, self.world.nodes[count:])
        again = self.share(end + AGAIN_SECONDS, end + AGAIN_SECONDS + 1, cut)
        print(f"{way}, {count}: served {there:.3f}, the others {others:.3f}, again {again:.3f}", flush=True)
        assert others >= SERVED_SHARE, f"{others:.3f} served at the nodes that reach the engines"
        assert again >= SERVED_SHARE, f"{again:.3f} served after the end"
        return there


def connections_hang(scenario):
    scenario.cut(2, partition.HANG)


def connections_are_reset(scenario):
    scenario.cut(2, partition.RESET)


def open_connections_live_on(scenario):
    scenario.cut(2, partition.LIVE_ON)


def all_nodes_but_one(scenario):
    scenario.cut(NODES - 1, partition.HANG)


def the_engines_are_moved_by_a_node_that_reaches_them(scenario):
    """New weights are named while all nodes but one are partitioned, among them the one that moved engines last."""
    world = scenario.world
    world.weights_named()
    world.wait_until_moved(VERSION_SECONDS)
    mover = world.seen.orders[-1]["holder"]
    left = next(node for node in world.nodes if f"node-{node.number}" != mover)
    cutting = scenario.start_cut([node for node in world.nodes if node is not left], partition.RESET,
                                 VERSION_SECONDS + 4)
    time.sleep(judge.CONTACT_SECONDS)
    world.weights_named()
    world.wait_until_moved(VERSION_SECONDS)
    cutting.join()


def a_request_is_not_blamed_for_partitions(scenario):
    """Nodes lose their links in turn while each runs the same stream, at another engine each time: none crashed."""
    world, body = scenario.world, b"body of innocent"
    for engine in world.engines:
        engine.event_seconds = soak.SLOW_EVENT_SECONDS

    def engines_that_ran():
        return {run["engine"] for run in world.seen.runs if run["body"] == body}

    for node in itertools.islice(itertools.cycle(world.nodes[:3]), 9):
        if len(engines_that_ran()) > judge.CRASHES:
            break
        asking = threading.Thread(target=world.call, args=("stream-once", "k-open", node),
                                  kwargs={"repeated": "innocent"}, daemon=True)
        asking.start()
        time.sleep(soak.SLOW_EVENT_SECONDS)
        scenario.start_cut([node], partition.RESET, 2.0).join()
        asking.join()
    assert len(engines_that_ran()) >= judge.CRASHES, "it ran at too few engines to be suspected"
    for node in world.nodes[3:]:
        call = world.call("stream-once", "k-open", node, repeated="innocent")
        assert call["status"] == 200, f"node {node.number}: {soak.what_came(call)}"


def the_serving_nodes_are_killed(scenario):
    """The nodes that serve for the partitioned ones are killed, stopped and paused in turn."""
    world = scenario.world
    cutting = scenario.start_cut(world.nodes[:2], partition.HANG, 12.0)
    time.sleep(judge.CONTACT_SECONDS)
    others = world.nodes
    world.nodes = others[2:]
    for strike in (world.node_killed, world.node_stopped, world.node_frozen):
        strike(scenario.draw)
    world.nodes = others
    cutting.join()
    start = time.monotonic()
    time.sleep(judge.CONTACT_SECONDS)
    assert scenario.share(start + AGAIN_SECONDS, time.monotonic() - 1) >= SERVED_SHARE


def silent_engines_are_no_partition(scenario):
    """A third of the engines falls silent for a second, again and again."""
    world, start = scenario.world, time.monotonic()
    for _ in range(4):
        some = scenario.draw.sample(world.engines, len(world.engines) // 3)
        for engine in some:
            engine.hang()
        time.sleep(1.0)
        for engine in some:
            engine.go_on()
        time.sleep(0.5)
    share = scenario.share(start, time.monotonic() - 1)
    assert share >= SERVED_SHARE, f"{share:.3f} served beside silent engines"


SCENARIOS = [connections_hang, connections_are_reset, open_connections_live_on, all_nodes_but_one,
             the_engines_are_moved_by_a_node_that_reaches_them, a_request_is_not_blamed_for_partitions,
             the_serving_nodes_are_killed, silent_engines_are_no_partition]


if __name__ == "__main__":
    scenarios.play_all(Scenario, SCENARIOS, AT_ONCE)
