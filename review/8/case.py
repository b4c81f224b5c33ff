#!/usr/bin/env python3
"""The machines that the seeds name are lost for good while the others are killed and start again. A tenant then sends
more than its limit to those that are left."""
import pathlib
import signal
import socket
import sys
import tempfile
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import rig  # noqa: E402  (the path above comes first)

SEEDS, LEFT = 3, 2
SETTLE_SECONDS = 10  # Traffic starts so long after the machines do.
BACK_SECONDS, SEED_LAG_SECONDS, TRAFFIC_SECONDS = 1.0, 3.0, 20.0
RATE, BURST, TOKENS = 60_000, 60_000, 1000
WINDOW_SECONDS, OVERAGE, SLACK = 8.0, 0.1, 110_000  # quota-window-s, quota-overage and quota-slack.
CALLERS, PER_SECOND = 8, 16.0  # At each machine that is left; each asks that often: 128,000 tokens a second a machine.


def keep_asking(number, gateway, end):
    turn, connection, reader = 0, None, None
    while time.monotonic() < end:
        turn += 1
        try:
            if connection is None:
                connection = socket.create_connection(gateway.front, 2)
                connection.settimeout(5)
                reader = connection.makefile("rb")
            connection.sendall(rig.request_bytes("GET", "/status/1", f"c{number}-{gateway.name}-{turn}", headers=[
                "Api-Key: key-of-desk", f"X-Token-Count: {TOKENS - 100},100"]))
            answer = rig.read_message(reader, True)
            if answer is None or answer.headers.get("connection", "").lower() == "close":
                connection = None
        except OSError:
            connection = None
        time.sleep(1 / PER_SECOND)


def most_tokens(runs):
    """Returns the most tokens of requests that ran in any span of the window's length."""
    times, first, most = sorted(runs), 0, 0
    for last, at in enumerate(times):
        while times[first] <= at - WINDOW_SECONDS:
            first += 1
        most = max(most, (last - first + 1) * TOKENS)
    return most


def main():
    record = rig.Record(sys.argv[1] if len(sys.argv) > 1 else HERE / "record.txt")
    net, store = rig.Net(), rig.platform_store.Store()
    rig.put_config(store, 1, [rig.route("status", "/status/", "safe", "desk", attempts=2)], [rig.service("desk")],
                   tenants=[{"name": "desk-1", "api-keys": ["key-of-desk"], "priority": 1, "isolated": False,
                             "unit": "tokens", "plain-tokens": 200, "rate-per-s": RATE, "burst": BURST}])
    engines = [rig.Engine(f"i-{number}", net.host(5 + number), "desk", store, record, slots=64) for number in range(3)]
    folder = tempfile.mkdtemp(prefix="review-8-")
    hosts = [net.host(20 + number) for number in range(SEEDS + LEFT)]
    extra = [f"bounds.quota-window-s={WINDOW_SECONDS:.0f}", f"bounds.quota-overage={OVERAGE}",
             f"bounds.quota-slack={SLACK}",
             "contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform"]
    gateways = [rig.Gateway(f"front-{number}", host, store, hosts[:SEEDS], folder, record, extra=extra)
                for number, host in enumerate(hosts)]
    for each in gateways:
        each.start()
    for each in gateways:
        each.wait_ready()
    time.sleep(SETTLE_SECONDS)
    left = gateways[SEEDS:]
    if rig.TROUBLE:
        record.note("all machines are killed at once; those that the seeds name don't come back")
        for each in gateways:
            each.close()
        time.sleep(BACK_SECONDS)
        for each in left:
            each.start()
        time.sleep(SEED_LAG_SECONDS)
        for each in left:
            each.write_settings(hosts[SEEDS:])
            each.signal(signal.SIGHUP)
        record.note("the settings name the machines that are left, and SIGHUP says so")
        for each in left:
            each.wait_ready()
        time.sleep(SETTLE_SECONDS)
    start = time.monotonic()
    threads = [threading.Thread(target=keep_asking, args=(number, each, start + TRAFFIC_SECONDS))
               for each in left for number in range(CALLERS)]
    for each in threads:
        each.start()
    for each in threads:
        each.join()
    for each in gateways:
        each.close()
    runs = [at for each in engines for at, _, _ in each.runs]
    if not runs:
        rig.finish(rig.NOT_RUN, record, "no request ran")
    most, allowed = most_tokens(runs), (RATE * WINDOW_SECONDS + BURST) * (1 + OVERAGE) + SLACK
    rig.finish(rig.BROKEN if most > allowed else rig.HELD, record,
               f"QUOTA: {most} tokens of the tenant's requests ran in {WINDOW_SECONDS:.0f} s, {allowed:.0f} are allowed; "
               f"{len(runs)} runs")


if __name__ == "__main__":
    rig.play(main, HERE)
