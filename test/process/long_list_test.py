#!/usr/bin/env python3
"""A list of back ends of many pages: gateways that start together leave it to the readers, a page that
fails does not cost the pages before it, and a new reader continues from what it holds.
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
NODES = 5
READERS = 2
ENGINES = 1000
PAGE_ITEMS = 20
PAGES = ENGINES // PAGE_ITEMS
PAGES_AT_START = 6  # That a gateway reads by itself when it starts.
# Longer than a watch waits for a change (1.9 s) and than the pause to the next one: in each such window a node
# that follows the store begins a watch.
WINDOW_SECONDS = 3.0


def engine(number):
    return {"service": "models", "addr": f"127.0.0.1:{number + 1}", "zone": "z", "slots": 16,
            "state": "ready", "seq": 1, "models": [{"name": "m0", "version": 1}], "born": 1000 + number}


class LongListTest(unittest.TestCase):
    def setUp(self):
        self.store = platform_store.Store()
        self.store.page_items = PAGE_ITEMS
        self.store.put("config", "main", {"version": 1, "routes": [], "tenants": [], "limits": {},
                                          "services": []})
        self.store.put("versions", "m0", {"model": "m0", "version": 1})
        for number in range(ENGINES):
            self.store.put("servers", f"e{number:04}", engine(number))
        # Rejected once each, somewhere in the middle of the list.
        self.store.failing_pages = [f"e{PAGE_ITEMS * page - 1:04}" for page in (17, 31, 42)]
        net, self.net_holder = own_hosts.claim_net()
        hosts = own_hosts.node_hosts(net, NODES)
        self.folder = tempfile.TemporaryDirectory()
        self.nodes = [soak.Node(number, BINARY, pathlib.Path(self.folder.name), self.store,
                                own_hosts.NODE_PORTS, hosts) for number in range(NODES)]
        wait_for(lambda: len(self.watching()) == READERS, "two nodes follow the store")
        wait_for(lambda: all(self.knows_all(node) for node in self.nodes), "all know the whole list")

    def tearDown(self):
        for node in self.nodes:
            node.end()
        self.folder.cleanup()
        self.net_holder.close()

    def watching(self, since=0):
        return {node for node, _, path in self.store.calls[since:] if "/servers?watch=" in path}

    def watching_now(self):
        """Returns the nodes that begin a watch within WINDOW_SECONDS from now."""
        before = len(self.store.calls)
        time.sleep(WINDOW_SECONDS)
        return self.watching(before)

    def pages_of(self, number, since=0):
        return [path for node, _, path in self.store.calls[since:]
                if node == number and "/servers" in path and "watch=" not in path]

    def knows_all(self, node):
        log = pathlib.Path(self.folder.name) / f"node-{node.number}.log"
        return f"back ends: {ENGINES} listed" in log.read_text(errors="replace")

    def test_gateways_that_start_together_leave_a_long_list_to_the_readers(self):
        readers = self.watching()
        for number in range(NODES):
            pages = self.pages_of(number)
            with self.subTest(number=number):
                if number not in readers:
                    self.assertLessEqual(len(pages), PAGES_AT_START, pages)
                    self.assertTrue(all("stale=1" in page for page in pages), pages)

        with self.subTest("and a page that fails does not cost the pages before it"):
            newest = [page for number in readers for page in self.pages_of(number)
                      if "stale=1" not in page]
            whole_lists = [page for page in newest if "after=" not in page]
            self.assertLessEqual(len(whole_lists), READERS, newest)
            self.assertLessEqual(len(newest), READERS * PAGES + 3, newest)

        with self.subTest("and a new reader continues from what it holds"):
            before = len(self.store.calls)
            for number in readers:
                self.nodes[number].end()
            # Until the living nodes agree on the new readers, a third one may read by itself, but not for long.
            wait_for(lambda: len(self.watching_now() - readers) == READERS, "two others follow, and no third one")
            for number in range(NODES):
                self.assertEqual(self.pages_of(number, before), [])


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1], warnings="ignore")
