#!/usr/bin/env python3
"""A request that crashes each engine that runs it isn't sent on and on, and nobody else is refused for it.

The story: one request crashed the engine that began to run it. It came again with the same path, caller and
body, at any gateway, and each gateway sent it to the next engine: nineteen ended. A tenth of all notes
and receipts were not served meanwhile. Nothing outlived a single run: what the request had done to an engine was
charged to the engine alone, and each attempt, at this gateway or another, began as if it had never been seen.

The evidence: in the logs of all gateways the broken attempts at the ends of engines hold one fingerprint each time,
sent by different gateways, and never with an answer of an engine (docs/incidents/poison-requests.md).

usage: poison_request_test.py BUILD_FOLDER [NAME]
"""
import random
import signal
import threading
import time

import scenarios
from scenarios import judge  # Makes the soak's folder known.

import soak

NODES = 5
CALLERS = 8
AT_ONCE = 2  # Scenarios beside each other: each waits for most of its time.


class Scenario(scenarios.Scenario):
    """A world with callers beside the poison requests; each scenario is judged like a soak."""

    def __init__(self, build):
        super().__init__(build, NODES, "--poison", "1")
        time.sleep(judge.CONTACT_SECONDS)  # All gateways are in touch when the story begins.
        self.start_callers(CALLERS)

    def ask(self, poisons, seconds, patience=soak.CALLER_SECONDS):
        """One caller a poison request asks again after each failure, at any gateway."""
        asking = [threading.Thread(target=self.world.keep_asking_poison,
                                   args=(poison, seconds, random.Random(number), patience),
                                   daemon=True)
                  for number, poison in enumerate(poisons)]
        for each in asking:
            each.start()
        return asking

    def crashes_of(self, poison):
        body = f"body of {poison[1]}".encode()
        return [crash for crash in self.world.seen.crashes if crash["body"] == body]

    def wait_until_crashed(self, poison, count):
        end = time.monotonic() + 20
        while len(self.crashes_of(poison)) < count:
            assert time.monotonic() < end, f"{poison} did not crash {count} engines"
            time.sleep(0.02)

    def end(self):
        try:
            super().end()
        finally:
            ends = [len(self.crashes_of(poison)) for poison in self.world.poisons]
            print(f"engines ended under each request: {ends}", flush=True)


def join(threads):
    for each in threads:
        each.join()


def two_requests_of_repeatable_rows(scenario):
    """Each crashes an engine with either of its attempts; callers come back for twelve seconds."""
    join(scenario.ask([scenario.world.new_poison("again"),
                       scenario.world.new_poison("stream-again")], 12))


def requests_that_may_run_once(scenario):
    """A row that allows one attempt sends once a try; the callers' tries add up."""
    join(scenario.ask([scenario.world.new_poison("once"),
                       scenario.world.new_poison("stream-once")], 12))


def others_are_served_meanwhile(scenario):
    """When the requests that crash engines are known, and the engines are back, everybody else is served,
    also who asks the same all the time."""
    world = scenario.world
    poison = world.new_poison("stream-again")
    asking = scenario.ask([poison], 14)
    scenario.wait_until_crashed(poison, 3)
    time.sleep(soak.standin.BACK_SECONDS + 3)
    since = time.monotonic()
    join(asking)
    others = [call for call in world.calls if call["sent_at"] > since and call["ended_at"]
              and call["sent_body"] not in world.seen.poison]
    served = sum(call["status"] == 200 for call in others)
    assert served >= 0.95 * len(others), f"{served} of {len(others)} served"


def gateways_are_killed_meanwhile(scenario):
    """A gateway that was started a moment ago knows what the others know."""
    asking = scenario.ask([scenario.world.new_poison("again"),
                           scenario.world.new_poison("stream-again")], 14)
    while any(each.is_alive() for each in asking):
        scenario.world.node_killed(scenario.draw)
        time.sleep(1.5)


def all_gateways_are_killed(scenario):
    """What is known of a request outlives all processes that knew it."""
    poison = scenario.world.new_poison("stream-again")
    join(scenario.ask([poison], 6))
    scenario.world.nodes_killed()
    scenario.world.wait_until_served()
    time.sleep(judge.CONTACT_SECONDS)
    before = len(scenario.crashes_of(poison))
    join(scenario.ask([poison], 4))
    after = len(scenario.crashes_of(poison))
    assert after == before, f"{after - before} engines more crashed after the restart"


def a_frozen_gateway_comes_back(scenario):
    """A gateway that was not there when the request became known hears of it when it is back."""
    world = scenario.world
    node = world.nodes[0]
    start = time.monotonic()
    node.killed.append(start)
    node.process.send_signal(signal.SIGSTOP)
    others = world.nodes[1:]
    poison = world.new_poison("again")
    end = time.monotonic() + 7
    while time.monotonic() < end:
        world.call(poison[0], "k-open", scenario.draw.choice(others), repeated=poison[1])
        time.sleep(0.5)
    node.process.send_signal(signal.SIGCONT)
    node.killed.append(time.monotonic())
    node.strike(start)
    time.sleep(judge.CONTACT_SECONDS + 0.2)
    before = len(scenario.crashes_of(poison))
    for _ in range(6):
        world.call(poison[0], "k-open", node, repeated=poison[1])
    after = len(scenario.crashes_of(poison))
    assert after == before, f"the gateway that came back crashed {after - before} engines"


def the_store_is_away_meanwhile(scenario):
    """Gateways tell each other, also while none of them reaches the store."""
    world = scenario.world
    start = time.monotonic()
    for node in world.nodes:
        world.store.faults[node.number] = "refuse"
    poison = world.new_poison("again")
    join(scenario.ask([poison], 4))  # The keys are proven for some seconds more.
    before = len(scenario.crashes_of(poison))
    world.end_store_faults(start)
    time.sleep(judge.CONTACT_SECONDS + 0.5)
    join(scenario.ask([poison], 4))
    after = len(scenario.crashes_of(poison))
    assert 3 <= before <= 8 and after == before, f"{before} crashes while it was away, {after} in all"


SCENARIOS = [two_requests_of_repeatable_rows, requests_that_may_run_once, others_are_served_meanwhile,
             gateways_are_killed_meanwhile, all_gateways_are_killed, a_frozen_gateway_comes_back,
             the_store_is_away_meanwhile]


def main(stories):
    scenarios.play_all(Scenario, stories, AT_ONCE)


if __name__ == "__main__":
    main(SCENARIOS)
