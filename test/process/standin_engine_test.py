#!/usr/bin/env python3
"""The emulated engine of the soak keeps to the users' protocol where an order comes while requests wait."""
import pathlib
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "platform_soak"))

import engines  # noqa: E402  (the path above comes first)
from scenarios import wait_for  # noqa: E402

WAIT_SECONDS = 20


class EmptyStore:
    """Holds the entries that engines write."""

    def __init__(self):
        self.objects = {}

    def put(self, kind, name, spec):
        self.objects[(kind, name)] = {"spec": spec}


def an_order_that_ends_while_the_engine_is_silent_rejects_what_waits():
    engine = engines.Engine(0, 1, "models", EmptyStore(), engines.Ledger(), "127.0.0.1", 3, "m")
    engine.hang()
    began = []
    waiting = threading.Thread(
        target=lambda: began.append(engine.begin(100, lambda: False, engine.orders)))
    waiting.start()
    wait_for(lambda: engine.prompts, "the request did not wait")
    with engine.lock:
        engine.start_order(4)
    wait_for(lambda: engine.version == 4 and not engine.busy, "the order did not end")
    engine.go_on()
    waiting.join(WAIT_SECONDS)
    assert began == [None], f"the request began on version {began}"
    engine.close_port()


if __name__ == "__main__":
    an_order_that_ends_while_the_engine_is_silent_rejects_what_waits()
    print("ok")
