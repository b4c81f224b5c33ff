#!/usr/bin/env python3
"""A node that restarts while the platform is down takes the table from its peers and serves. Where
all nodes restart at once nobody has the table: they say so, and serve as soon as the platform is
back."""
from process_testing import cluster, ask, check, run

DOWN_MILLISECONDS = 600000


def test(deployment):
    deployment.platform.fault(kind="down", duration_ms=DOWN_MILLISECONDS)
    deployment.nodes[0].kill()
    deployment.nodes[0].start()
    deployment.nodes[0].wait_ready()
    cluster.wait_until(lambda: ask(deployment.nodes[0])[0] == 200, "the restarted node serves")
    for node in deployment.nodes:
        node.kill()
    for node in deployment.nodes:
        node.start()
    for node in deployment.nodes:
        cluster.wait_until(lambda: cluster.call("GET", node.url + "/readyz")[0] == 503,
                           f"{node.name} says that it is not ready")
        status, text, _ = ask(node)
        check(status == 503 and '"run":"not_run"' in text, f"refused wrongly: {text}")
    deployment.platform.fault(kind="none")
    for node in deployment.nodes:
        cluster.wait_until(lambda: ask(node)[0] == 200, f"{node.name} serves again")


run(test, base_port=18500, engines_per_zone=1)
