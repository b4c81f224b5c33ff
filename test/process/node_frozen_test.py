#!/usr/bin/env python3
"""SIGSTOP of a node past every timeout, then SIGCONT: meanwhile the others serve, afterwards it is a
member again and serves, and a payment sent before, during and after runs once."""
import json
import signal

import cluster
from process_testing import ask, check, new_key, pay, run, runs_of


def states(node):
    status, _, text = cluster.call("GET", node.url + "/operator/nodes", key=cluster.OPERATOR_KEY)
    check(status == 200, text)
    return {entry["node_id"]: entry["state"] for entry in json.loads(text)["nodes"]}


def test(deployment):
    frozen, other = deployment.nodes[0], deployment.nodes[1]
    key = new_key()
    status, first = pay(frozen, key, {"claim": 1})
    check(status == 200, first)
    frozen.signal(signal.SIGSTOP)
    cluster.wait_until(lambda: states(other).get(frozen.node_id) in (None, "dead"),
                       "the others see that the node is gone", timeout=60)
    check(ask(other)[0] == 200, "the others must serve")
    status, again = pay(other, key, {"claim": 1})
    check(status == 200 and again == first, f"the recorded answer must come: {again}")
    frozen.signal(signal.SIGCONT)
    cluster.wait_until(lambda: states(other).get(frozen.node_id) == "alive", "it is back",
                       timeout=60)
    cluster.wait_until(lambda: ask(frozen)[0] == 200, "it serves again")
    status, again = pay(frozen, key, {"claim": 1})
    check(status == 200 and again == first, f"the recorded answer must come: {again}")
    check(len(runs_of(deployment, key)) == 1, "the payment ran more than once")


run(test, base_port=18600, engines_per_zone=1)
