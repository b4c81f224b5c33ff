#!/usr/bin/env python3
"""Operators' edits through real nodes: an accepted cell is in force on every node, a race and a row
that was removed meanwhile are told as conflicts, and nothing comes back by itself."""
import json
import uuid

from process_testing import TENANT, ask, check, cluster, run

SERVICE = "village-alerts"


def edit(node, base_version, columns):
    """Sends one row's change; returns (status, parsed answer)."""
    body = {"base_version": base_version, "change_id": str(uuid.uuid4()),
            "changes": [{"service": SERVICE, "tenant": TENANT, "columns": columns}]}
    status, _, text = cluster.call("POST", node.url + "/operator/table", body,
                                   key=cluster.OPERATOR_KEY)
    return status, json.loads(text)


def test(deployment):
    first, second, third = deployment.nodes
    status, switched_off = edit(first, 1, {"enabled": False})
    check(status == 200 and switched_off["status"] == "accepted", switched_off)
    for node in deployment.nodes:
        check(ask(node)[0] == 403, f"{node.name} does not have the accepted change in force")
    status, race = edit(second, 1, {"priority": 3})
    check(status == 409, f"a race must be told: {race}")
    check(race["conflicts"][0]["theirs"]["enabled"] is False, race)
    check(race["conflicts"][0]["mine"]["priority"] == 3, race)
    status, removed = edit(second, switched_off["version"], None)
    check(status == 200 and removed["status"] == "accepted", removed)
    status, late = edit(third, switched_off["version"], {"priority": 3})
    check(status == 409, f"a row that was removed must not come back with defaults: {late}")
    check(ask(first)[0] == 404, "the row is gone")


run(test, base_port=18700, engines_per_zone=1)
