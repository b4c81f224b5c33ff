#!/usr/bin/env python3
"""Engines that say in their answers that they leave are left in peace by all gateways.

Each scenario is a world of five gateways, ten engines of a model and three plain ones, with callers that ask all the
while; it is judged like a soak, and by what callers want: nobody is turned away while another engine serves.

usage: engine_leaves_test.py BUILD_FOLDER [NAME]
"""
import time

import scenarios
from engine_limit_test import Scenario, state
from scenarios import judge  # Makes the soak's folder known.

import soak

AT_ONCE = 2
WATCHED_SECONDS = 6.0
# After an engine's first answer that says so the gateways have so long to tell each other.
HEARD_SECONDS = 0.5
QUICK_REFUSAL_SECONDS = 0.02
REST = "3"


def leave(engines, says_so_in_store=False):
    for engine in engines:
        engine.leave(says_so_in_store)


def ask_rest(engines, text):
    for engine in engines:
        engine.ask_rest(text)


def first_told(entries, engine):
    return min((entry["at"] for entry in entries if entry["life"] == engine.life), default=None)


def expect_left(scenario, engines):
    """From shortly after an engine's first answer that says that it leaves it gets nothing from any gateway."""
    now = time.monotonic()
    for engine in engines:
        told = first_told(scenario.world.seen.told_leaving, engine)
        assert told is not None, f"{engine.id} answered nobody"
        late = scenario.arrivals_at(engine, told + HEARD_SECONDS, now)
        assert not late, f"{engine.id} ({engine.service}) got {len(late)} requests, the last " \
                         f"{late[-1] - told:.2f} s after it said that it leaves"


def expect_served(scenario, start, end, least=0.99):
    share = scenario.served_share(scenario.calls_between(start, end))
    print(f"served {share:.3f}", flush=True)
    assert share >= least, f"{share:.3f} served while other engines had room"


def quick_refusal(scenario, now):
    """On a busy machine a refusal may take as long as an answer of an engine did just before."""
    plain = [call for call in scenario.calls_between(now - 3, now)
             if call["status"] == 200 and call["kind"] in ("once", "again")]
    return max(QUICK_REFUSAL_SECONDS, scenario.middle_time(plain))


def some_engines_leave_by_answers_alone(scenario):
    """The store goes on saying that they are ready, as their heartbeats do."""
    leaving = scenario.busiest(scenario.engines_of(soak.MODELS), 2) + scenario.engines_of(soak.PLAIN, 1)
    start = time.monotonic()
    leave(leaving)
    time.sleep(WATCHED_SECONDS / 2)
    for engine in leaving:
        engine.register()
    time.sleep(WATCHED_SECONDS / 2)
    expect_left(scenario, leaving)
    expect_served(scenario, start, time.monotonic() - 1)


def engines_leave_while_the_store_is_away(scenario):
    world = scenario.world
    leaving = scenario.busiest(scenario.engines_of(soak.MODELS), 2) + scenario.engines_of(soak.PLAIN, 1)
    start = time.monotonic()
    for node in world.nodes:
        world.store.faults[node.number] = "refuse"
    leave(leaving, says_so_in_store=True)
    time.sleep(4.5)  # Less than the time for which a key may be used unproven.
    world.end_store_faults(start)
    time.sleep(WATCHED_SECONDS - 4.5)
    expect_left(scenario, leaving)


def all_plain_engines_leave_and_new_ones_come(scenario):
    world = scenario.world
    old = scenario.engines_of(soak.PLAIN)
    start = time.monotonic()
    leave(old)
    time.sleep(0.3)
    for engine in old:
        world.engines.append(world.new_engine(engine.number + 100, soak.PLAIN))
    time.sleep(WATCHED_SECONDS)
    for engine in old:
        told = first_told(world.seen.told_leaving, engine)
        late = scenario.arrivals_at(engine, told + 0.3 + 2 * HEARD_SECONDS, time.monotonic())
        assert not late, f"{engine.id} got {len(late)} requests though new engines were there"
    expect_served(scenario, start, time.monotonic() - 1)


def all_plain_engines_leave(scenario):
    """They serve for the time that they have left, and what comes later is refused at once."""
    start = time.monotonic()
    quick = quick_refusal(scenario, start)
    leave(scenario.engines_of(soak.PLAIN))
    time.sleep(WATCHED_SECONDS)
    plain = [call for call in scenario.calls_between(start, time.monotonic() - 1)
             if call["kind"] in ("once", "again")]
    soon = [call for call in plain if call["sent_at"] < start + judge.DRAIN_SECONDS / 2]
    late = [call for call in plain if call["sent_at"] > start + judge.DRAIN_SECONDS + 0.5]
    assert scenario.served_share(soon) >= 0.95, f"{scenario.served_share(soon):.3f} of those that still had time"
    refused = scenario.middle_time(late)
    print(f"refused in {refused * 1000:.1f} ms, {quick * 1000:.1f} ms allowed", flush=True)
    served = [call for call in late if call["status"] not in (503, None)]
    assert not served, f"{len(served)} calls were sent to engines whose time was over"
    assert all(call["retry_after"] for call in late if call["status"] == 503)
    assert refused <= quick, f"refused in {refused * 1000:.1f} ms"


def an_engine_comes_back_and_serves(scenario):
    """What an incarnation said ends with it, also under the same id and whether it left or rested."""
    world = scenario.world
    places = [world.engines.index(engine) for engine in scenario.engines_of(soak.PLAIN, 2)]
    leave([world.engines[places[0]]])
    ask_rest([world.engines[places[1]]], "60")
    time.sleep(judge.CONTACT_SECONDS)
    with world.engines_turn:
        for place in places:
            old = world.engines[place]
            old.crash()
            time.sleep(0.1)
            world.engines[place] = world.new_engine(old.number, old.service, old.id)
    time.sleep(2)
    start = time.monotonic()
    time.sleep(3)
    for place in places:
        rate = len(scenario.arrivals_at(world.engines[place], start, start + 3)) / 3
        assert rate > 2, f"{rate} requests a second at an engine that states nothing"


def gateways_are_struck_meanwhile(scenario):
    """Who is started anew hears from the others who leaves."""
    world = scenario.world
    leaving = scenario.busiest(scenario.engines_of(soak.MODELS), 2) + scenario.engines_of(soak.PLAIN, 1)
    leave(leaving)
    ask_rest(scenario.engines_of(soak.MODELS)[-3:], REST)
    time.sleep(judge.CONTACT_SECONDS)
    end = time.monotonic() + 12
    while time.monotonic() < end:
        scenario.draw.choice([world.node_killed, world.node_frozen, world.node_stopped])(scenario.draw)
    start = time.monotonic()
    time.sleep(judge.CONTACT_SECONDS + 1)
    late = sum(len(scenario.arrivals_at(engine, start + 1, time.monotonic())) for engine in leaving)
    assert late == 0, f"{late} requests at engines that leave, from gateways that were started anew"


def leaving_engines_with_limits(scenario):
    """All that an engine states holds beside the rest of it."""
    both = scenario.engines_of(soak.PLAIN, 1) + scenario.busiest(scenario.engines_of(soak.MODELS), 1)
    state(both, "1.4")
    time.sleep(2)
    leave(both)
    time.sleep(WATCHED_SECONDS)
    expect_left(scenario, both)


SCENARIOS = [some_engines_leave_by_answers_alone, engines_leave_while_the_store_is_away,
             all_plain_engines_leave_and_new_ones_come, all_plain_engines_leave,
             an_engine_comes_back_and_serves, gateways_are_struck_meanwhile, leaving_engines_with_limits]


if __name__ == "__main__":
    scenarios.play_all(Scenario, SCENARIOS, AT_ONCE)
