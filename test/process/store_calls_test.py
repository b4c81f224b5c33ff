#!/usr/bin/env python3
"""What gateway processes ask of the platform's store: a node that starts reads what it needs once,
nodes ask a store that answers nobody for the table only, and follow it no longer than they have to.
"""
import pathlib
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "test" / "platform_soak"))

import hosts as own_hosts  # noqa: E402  (the path above comes first)
import soak  # noqa: E402
import store as platform_store  # noqa: E402
from scenarios import wait_for  # noqa: E402

BINARY = str(pathlib.Path(sys.argv[1]).resolve() / "fernmoor-gateway")
NODES = 3           # Two of them read the store.
OUTAGE_SECONDS = 4  # Longer than it takes every node to fall back.
QUIET_SECONDS = 3   # Without a call of a node that is told by others; it read each 0.6 s before.


class StoreCallsTest(unittest.TestCase):
    def setUp(self):
        self.store = platform_store.Store()
        self.store.put("config", "main", {"version": 1, "routes": [], "tenants": [], "limits": {},
                                          "services": []})
        self.store.put("versions", "m0", {"model": "m0", "version": 1})
        self.store.put("servers", "e1", {"service": "models", "addr": "127.0.0.1:1", "zone": "z"})
        net, self.net_holder = own_hosts.claim_net()
        hosts = own_hosts.node_hosts(net, NODES)
        self.folder = tempfile.TemporaryDirectory()
        self.nodes = [soak.Node(number, BINARY, pathlib.Path(self.folder.name), self.store,
                                own_hosts.NODE_PORTS, hosts) for number in range(NODES)]
        wait_for(lambda: len(self.watching()) == 2, "two nodes follow the store")
        self.told = next(number for number in range(NODES) if number not in self.watching())

    def tearDown(self):
        for node in self.nodes:
            node.end()
        self.folder.cleanup()
        self.net_holder.close()

    def calls_of(self, number, since=0):
        return [f"{method} {path}" for node, method, path in self.store.calls[since:]
                if node == number]

    def watching(self):
        return {node for node, _, path in self.store.calls if "watch=" in path}

    def is_quiet(self):
        """Whether the node that is told by others asks nothing for a while."""
        before = len(self.store.calls)
        time.sleep(QUIET_SECONDS)
        return not self.calls_of(self.told, before)

    def test_a_node_that_starts_reads_each_kind_once_and_follows_nothing(self):
        wait_for(self.is_quiet, "the third node is told by the others")
        calls = self.calls_of(self.told)
        for kind in ("servers", "versions"):
            listed = [call for call in calls if f"/{kind}" in call]
            self.assertLessEqual(len(listed), 1, calls)
            self.assertTrue(all("stale=1" in call for call in listed), calls)
        self.assertFalse([call for call in calls if "watch=" in call], calls)
        self.assertIn("GET /fernmoor/objects/config", calls)

    def test_a_store_that_answers_nobody_is_asked_for_the_table_only(self):
        wait_for(self.is_quiet, "the third node is told by the others")
        self.store.faults = {number: "refuse" for number in range(NODES)}
        before = len(self.store.calls)
        wait_for(lambda: self.calls_of(self.told, before), "the third node falls back")
        time.sleep(OUTAGE_SECONDS)
        asked = set(self.calls_of(self.told, before))
        self.assertEqual(asked, {"GET /fernmoor/objects/config"})

        with self.subTest("and the readers relieve the others when it answers again"):
            self.store.faults = {}
            wait_for(self.is_quiet, "the third node is told by the others again")


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1], warnings="ignore")
