#!/usr/bin/env python3
"""Most new connections of all callers go to one node for some seconds, while callers open them more often. From
`contact-ms` after that begins, requests must be served at the first attempt that a node reads not less than three
quarters as often as before. An attempt that is refused, or closed with the request unread, turns to another node.

Guards against a node that reads more requests than it can serve in time: each then waits for its turn until its
caller has given up, and nearly nothing is served. The gateways have a share of a core each, as the users' have, so
that one of them alone cannot serve what the herd brings, while all five can.

usage: connection_herd_test.py BUILD_FOLDER [NAME]
"""
import concurrent.futures
import os
import pathlib
import random
import re
import subprocess
import sys
import time
import typing
import urllib.request

import scenarios
from scenarios import judge  # Makes the soak's folder known.

import soak

NODES = 5
HERD_CHANCE = 0.85
# Calls begin to count some seconds after the start, when connections to engines are open.
WARM_SECONDS, CALM_SECONDS, HERD_SECONDS = 5, 8, 10
REST_SECONDS = 5  # From the end of the herd until no connection may be closed unread.
ADAPT_SECONDS = 5  # Time that the rule leaves to the nodes: `contact-ms`.
MOST_CALLS = 1200
DEADLINE_SECONDS = 2.0
TRIES = 4  # Of one request, at different nodes.
CALM_SERVED_SHARE, HERD_SERVED_SHARE = 0.95, 0.75


class Load(typing.NamedTuple):
    kinds: tuple
    share_of_core: float  # Of each node.
    calm_rate: float  # New connections a second, of all callers together.
    herd_rate: float


# A request takes 0.4 ms of processor time, a stream about 2 ms, and each node some for the others. One node can
# serve 70 requests or 20 streams a second.
CALLS = Load(("once", "again"), 0.03, 80, 200)
STREAMS = Load(("stream-once", "stream-again"), 0.05, 25, 70)


class Request:
    """One request of a caller: its tries until one was read, or all were refused or closed unread."""

    def __init__(self, at, node):
        self.at, self.nodes, self.read = at, [node], None

    def is_served(self):
        return self.read is not None and judge.is_served(self.read)


class Herd:
    def __init__(self, build):
        options = soak.parse([build, "--nodes", str(NODES), "--poison", "0"])
        self.world = soak.World(options)
        self.world.start_nodes(options)
        print(f"logs in {self.world.folder}, load {os.getloadavg()[0]:.1f}", flush=True)
        self.world.wait_until_served()
        self.quota, self.load = None, CALLS
        self.draw = random.Random(11)
        self.requests = []
        self.pool = concurrent.futures.ThreadPoolExecutor(MOST_CALLS)

    def begin(self, load):
        """Holds the nodes to their shares of a core, and lets them serve for some seconds."""
        self.load = load
        command = [sys.executable, str(pathlib.Path(soak.__file__).parent / "cpu_quota.py"), str(load.share_of_core)]
        pids = [str(node.process.pid) for node in self.world.nodes]
        self.quota = subprocess.Popen(command + pids, stdin=subprocess.PIPE)
        self.send(WARM_SECONDS, load.calm_rate, 0.0)

    def call(self, request):
        """Sends a request, to another node each time that it is refused or closed unread."""
        for _ in range(TRIES):
            call = self.world.call(self.draw.choice(self.load.kinds), "k-open", self.world.nodes[request.nodes[-1]],
                                   patience=DEADLINE_SECONDS,
                                   more_headers={"X-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000))})
            if call["status"] is not None or call["gave_up"]:
                request.read = call
                return
            others = [number for number in range(NODES) if number not in request.nodes]
            if not others:
                return
            request.nodes.append(self.draw.choice(others))

    def send(self, seconds, rate, herd_chance):
        """Sends requests at the rate, whether or not earlier ones are answered; this part of them to node 0."""
        end = time.monotonic() + seconds
        next_at = time.monotonic()
        while next_at < end:
            time.sleep(max(0.0, next_at - time.monotonic()))
            in_herd = self.draw.random() < herd_chance
            request = Request(time.monotonic(), 0 if in_herd else self.draw.randrange(NODES))
            self.requests.append(request)
            self.pool.submit(self.call, request)
            next_at += self.draw.expovariate(rate)

    def served_between(self, start, end):
        """Returns the share of the requests of this time that were served at the first attempt that was read."""
        chosen = [request for request in self.requests if start <= request.at < end]
        served = sum(request.is_served() for request in chosen)
        moved = sum(len(request.nodes) > 1 for request in chosen)
        unread = sum(request.read is None for request in chosen)
        print(f"{len(chosen)} requests, {served} served, {moved} closed unread at first, {unread} read nowhere; "
              f"answers {self.answers(chosen)}; load {os.getloadavg()[0]:.1f}", flush=True)
        return served / len(chosen)

    @staticmethod
    def answers(requests):
        came = {}
        for request in requests:
            what = "unread" if request.read is None else soak.what_came(request.read)
            came[what] = came.get(what, 0) + 1
        return came

    def closed_unread(self, number):
        """Returns how many connections a node closed unread, by its metrics."""
        node = self.world.nodes[number]
        url = f"http://{node.host}:{node.ports['metrics']}/metrics"
        with urllib.request.urlopen(url, timeout=20) as answer:
            found = re.search(r"^fernmoor_closed_unread_total\S* (\S+)$", answer.read().decode(), re.MULTILINE)
            assert found, f"node {number} does not tell how many connections it closed unread"
            return float(found.group(1))

    def all_closed_unread(self):
        return [self.closed_unread(number) for number in range(NODES)]

    def assert_unread_did_not_run(self):
        """What a caller sends anew as unread was neither begun nor sent to an engine."""
        unread = {call["id"] for call in self.world.calls if call["status"] is None and not call["gave_up"]}
        ran = [entry["id"] for entry in self.world.seen.arrivals if entry["id"] in unread]
        assert not ran, f"{len(ran)} requests that were closed unread came to engines"

    def end(self):
        self.pool.shutdown()
        self.assert_unread_did_not_run()
        self.quota.stdin.close()
        self.quota.wait()


def assert_served_in_herd(herd, load):
    herd.begin(load)
    calm = time.monotonic()
    herd.send(CALM_SECONDS, load.calm_rate, 0.0)
    start = time.monotonic()
    herd.send(HERD_SECONDS, load.herd_rate, HERD_CHANCE)
    end = time.monotonic()
    herd.send(REST_SECONDS, load.calm_rate, 0.0)
    closed = herd.all_closed_unread()
    after = time.monotonic()
    herd.send(CALM_SECONDS, load.calm_rate, 0.0)
    closed_later = herd.all_closed_unread()
    herd.pool.shutdown()
    before = herd.served_between(calm, start)
    herd.served_between(start, start + ADAPT_SECONDS)
    within = herd.served_between(start + ADAPT_SECONDS, end)
    again = herd.served_between(after, time.monotonic())
    assert before >= CALM_SERVED_SHARE, f"{before:.3f} served before the herd: this shows nothing"
    assert within >= HERD_SERVED_SHARE * before, f"{within:.3f} served in the herd, {before:.3f} before"
    assert closed[0] > 0, "the node in the herd told of no connection that it closed unread"
    assert again >= CALM_SERVED_SHARE, f"{again:.3f} served after the herd"
    assert closed_later == closed, f"connections were closed unread after the herd: {closed}, {closed_later}"


def most_connections_go_to_one_node(herd):
    assert_served_in_herd(herd, CALLS)


def most_streams_go_to_one_node(herd):
    """Streams go on using the node's processor after they are read."""
    assert_served_in_herd(herd, STREAMS)


def a_short_burst_closes_nothing(herd):
    """A node that serves a burst in time closes no connection, and neither does a calm one."""
    herd.begin(CALLS)
    for _ in range(4):
        herd.send(0.3, CALLS.herd_rate, HERD_CHANCE)
        herd.send(1.5, CALLS.calm_rate, 0.0)
    herd.pool.shutdown()
    closed = herd.all_closed_unread()
    assert not any(closed), f"{closed} connections were closed unread"


SCENARIOS = [most_connections_go_to_one_node, most_streams_go_to_one_node, a_short_burst_closes_nothing]


if __name__ == "__main__":
    scenarios.play_all(Herd, SCENARIOS, 1)
