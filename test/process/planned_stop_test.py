#!/usr/bin/env python3
"""SIGTERM of a node under load cuts no request, and the others get the new work."""
import signal
import threading

import cluster
from process_testing import Stream, ask, check, run

TOKENS = 100
STREAMS = 12


def test(deployment):
    node = deployment.nodes[0]
    _, whole, _ = ask(deployment.nodes[1], "planned stop", TOKENS)
    streams = [Stream.start(node, "planned stop", TOKENS).read_tokens(1) for _ in range(STREAMS)]
    node.signal(signal.SIGTERM)
    cluster.wait_until(lambda: cluster.call("GET", node.url + "/readyz")[0] == 503,
                       "the node tells that it drains")
    readers = [threading.Thread(target=stream.read_all) for stream in streams]
    for reader in readers:
        reader.start()
    for reader in readers:
        reader.join()
    for stream in streams:
        check(stream.done and stream.text == whole, f"a stream was cut: {stream.error}")
    check(node.handle.wait(30) == 0, "the node did not stop well")
    status, text, _ = ask(deployment.nodes[1], "planned stop", TOKENS)
    check(status == 200 and text == whole, "another node must serve on")


run(test, base_port=18400, engines_per_zone=2)
