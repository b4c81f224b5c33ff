"""One entry of another writer in the list of engines makes the whole list unreadable for the gateways: they don't see
that an engine leaves, and after a kill of all processes they know no engine at all.
"""
import os
import pathlib
import random
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig  # noqa: E402

# Bounds of the site neerkaval-fleet.
BOUNDS = {"contact-ms": 6000, "drain-ms": 5000, "grace-s": 8, "config-ms": 5000, "fail-closed": "true",
          "revoke-ms": 5000, "budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 1040, "lease-ms": 3000,
          "version-ms": 10000}
RECOVER_S = 18  # bounds.recover-s of that site
HEARTBEAT, AFTER_DRAIN = 1.2, 6.0
HOST, PATH, POOL = "ward.example", "/receipts/", "thattu"
ROUTES = [{"name": "r-receipts", "host": HOST, "path-prefix": PATH, "type": "safe", "timeout-ms": 4000,
           "target-ms": 300, "priority": 2, "service": POOL, "attempts": 2, "public": False, "sticky": False,
           "resumable": False}]
SERVICES = [{"name": POOL, "health-path": "/healthz", "max-conns": 1800, "protocol": "h1", "tls": False}]
TENANTS = [{"name": "desk", "api-keys": ["key-of-desk"], "priority": 0, "isolated": False}]
# Valid JSON. `service` is of another type, a number; the other fields of an engine are missing. VARIANT=text: it is a
# text that can't be read, a lone surrogate, which the store hands out as "\\udcff".
FOREIGN = {"service": "\udcff" if os.environ.get("VARIANT") == "text" else 10**29, "state": "counted"}


class App(rig.Engine):
    def __init__(self, *arguments, **options):
        self.arrivals, self.drained_at = [], None
        super().__init__(*arguments, born=True, **options)

    def entry(self):
        return dict(super().entry(), state="ready" if self.drained_at is None else "draining")

    def drain(self):
        self.drained_at = time.monotonic()
        self.beat()
        self.drained_at = time.monotonic()  # The store has taken it.
        self.record(f"engine {self.id} says draining, the store has taken it")

    def end(self):
        self.store.remove("servers", self.id)
        self.crash()

    def run(self, connection, start, fields, body):
        identity = rig.value_of(fields, "X-Request-Id")
        self.arrivals.append((time.monotonic(), identity))
        self.record(f"engine {self.id} runs {identity}")
        time.sleep(0.02)
        self.send(connection, 200, [("X-Request-Id", identity), ("X-Server-Stamp", f"{self.id}.{identity}")],
                  b"receipt " + identity.encode())


def story(record, trouble):
    world = rig.Rig(record, BOUNDS, 3)
    foreign = trouble and os.environ.get("FOREIGN", "1") != "0"
    answers, ended = [], threading.Event()  # answers: (sent at, status, whether an engine answered)

    def keep_calling(number):
        draw, count = random.Random(number), 0
        while not ended.is_set():
            count += 1
            identity, gateway = f"{number:04x}{count:012x}", draw.randrange(3)
            headers = [("Host", HOST), ("X-Request-Id", identity), ("X-Deadline-Ms", "4000"),
                       ("Api-Key", "key-of-desk")]
            sent = time.monotonic()
            record(f"client sends {identity} to gateway {gateway}")
            status, fields, _ = rig.call(world.front(gateway), "GET", PATH + "1", headers)
            record(f"client gets {status} for {identity}")
            answers.append((sent, status, rig.value_of(fields, "X-Server-Stamp") is not None))
            time.sleep(draw.uniform(0.05, 0.15))

    def keep_beating(engines):
        while not ended.wait(HEARTBEAT):
            for engine in engines:
                engine.beat()

    def share_served(since, until):
        sent = [status == 200 and stamped for at, status, stamped in answers if since <= at < until]
        return sum(sent) / max(1, len(sent)), len(sent)

    try:
        engines = [App(record, world.store, POOL, f"i-thattu-{number}", f"{world.net}.{100 + number}", slots=6)
                   for number in range(3)]
        for engine in engines:
            engine.beat()
        world.configure(1, ROUTES, SERVICES, TENANTS)
        world.start_all()
        world.await_ready()
        time.sleep(3)
        threading.Thread(target=keep_beating, args=(engines,), daemon=True).start()
        begin = time.monotonic()
        clients = [threading.Thread(target=keep_calling, args=(number,), daemon=True) for number in range(6)]
        for client in clients:
            client.start()
        time.sleep(4)
        if foreign:
            world.store.put("servers", "inventory", FOREIGN)
            record(f"another writer's entry: {ascii(FOREIGN)}")
        time.sleep(2)
        leaving = engines[0]
        leaving.drain()
        time.sleep(BOUNDS["drain-ms"] / 1000 + AFTER_DRAIN)
        leaving.end()
        engines.pop(0)
        time.sleep(2)
        fault_at = time.monotonic()
        if trouble:
            for number in range(3):
                world.signal(number, signal.SIGKILL)
            time.sleep(1)
            for number in range(3):
                world.processes[number].wait()
                world.start(number)
        back_at = time.monotonic()
        time.sleep(RECOVER_S + 8)
        ended.set()
        for client in clients:
            client.join()
        before, count_before = share_served(begin, fault_at)
        after, count_after = share_served(back_at + RECOVER_S, time.monotonic())
        late = [identity for at, identity in leaving.arrivals if at > leaving.drained_at + BOUNDS["drain-ms"] / 1000]
        summary = (f"served {before:.3f} of {count_before} before the kill, {after:.3f} of {count_after} later than "
                   f"{RECOVER_S} s after the processes were back; {len(late)} requests reached the leaving engine "
                   "later than drain-ms")
        record(summary)
        print(summary)
        if before < 0.25:
            raise rig.CannotRun("too few requests were served before the kill")
        broken = []
        if after < 0.25:
            broken.append(f"RECOVER: {after:.3f} of the requests were served")
        if late:
            broken.append(f"DRAIN: {len(late)} requests reached an engine later than drain-ms after the store had "
                          "taken that it drains")
        return broken
    finally:
        world.close()


rig.play(sys.argv[1] if len(sys.argv) > 1 else FOLDER / "record.txt", story)
