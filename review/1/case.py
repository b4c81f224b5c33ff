"""A client smuggles a request of its own making past the gateway, inside a header value."""
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig  # noqa: E402

# Bounds of the site lanyang-cfg.
BOUNDS = {"contact-ms": 3000, "drain-ms": 2000, "grace-s": 8, "config-ms": 2000, "fail-closed": "true",
          "revoke-ms": 5000, "budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 56, "lease-ms": 3000,
          "version-ms": 10000}
HOST, PATH = "orders.example", "/orders/"
ROUTES = [{"name": "r-orders", "host": HOST, "path-prefix": PATH, "type": "unsafe", "timeout-ms": 1500,
           "target-ms": 300, "priority": 2, "service": "cfg-app", "attempts": 1, "public": False,
           "sticky": False, "resumable": False}]
SERVICES = [{"name": "cfg-app", "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": False}]
TENANTS = [{"name": "small-shop", "api-keys": ["key-of-small-shop"], "priority": 0, "isolated": False},
           {"name": "big-mill", "api-keys": ["key-of-big-mill"], "priority": 0, "isolated": False}]
FORGED = "f0f0f0f0f0f0f0f0"  # The id of the request that no client sends.
SMUGGLED = (f"ok\r\n\r\nPOST {PATH}frames HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {FORGED}\r\n"
            "X-Tenant: big-mill\r\nContent-Length: 0\r\n\r\n")


def encoded_word(text):
    """Returns the text as an encoded word of RFC 2047: printable ASCII without blanks, one line."""
    return "=?UTF-8?Q?" + "".join(each if each.isalnum() else f"={ord(each):02X}" for each in text) + "?="


class App(rig.Engine):
    """A plain service. Records each request that it runs."""

    def __init__(self, *arguments, **options):
        self.runs = []
        super().__init__(*arguments, **options)

    def run(self, connection, start, fields, body):
        identity, tenants = rig.value_of(fields, "X-Request-Id"), rig.values_of(fields, "X-Tenant")
        self.record(f"engine runs {start!r}, X-Request-Id {identity}, X-Tenant {tenants}, body {body!r}")
        self.runs.append((identity, tenants, body))
        self.send(connection, 200, [("X-Request-Id", identity), ("X-Server-Stamp", f"{self.id}.{identity}")],
                  b"done " + identity.encode())


def story(record, trouble):
    world = rig.Rig(record, BOUNDS, 2)
    try:
        app = App(record, world.store, "cfg-app", "i-app-1", world.net + ".100", slots=6)
        app.beat()
        world.configure(1, ROUTES, SERVICES, TENANTS)
        world.start_all()
        world.await_ready()
        time.sleep(1.0)
        value = encoded_word(SMUGGLED if trouble else "cafe at the corner")
        sent = {}
        for number in range(20):
            identity = f"{number:016x}"
            body = f"frame {number}".encode()
            sent[identity] = ("small-shop", body)
            headers = [("Host", HOST), ("X-Request-Id", identity), ("X-Note", value),
                       ("X-Deadline-Ms", "3000"), ("Api-Key", "key-of-small-shop")]
            record(f"client of small-shop sends {identity} to gateway {number % 2}, X-Note: {value}")
            status, _, answer = rig.call(world.front(number % 2), "POST", PATH + "frames", headers, body)
            record(f"client gets {status} {answer[:60]!r} for {identity}")
            time.sleep(0.05)
        time.sleep(0.5)
        broken = []
        for identity, tenants, body in app.runs:
            if identity not in sent:
                broken.append(f"UNASKED: an engine ran {identity}, which no client sent, as tenant {tenants}")
            elif tenants != [sent[identity][0]]:
                broken.append(f"UNASKED: an engine ran {identity} of {sent[identity][0]} with X-Tenant {tenants}")
            elif body != sent[identity][1]:
                broken.append(f"UNASKED: an engine ran {identity} with the body {body!r}")
        if not trouble and len(app.runs) < 20:
            raise rig.CannotRun(f"only {len(app.runs)} of 20 requests were served")
        return broken
    finally:
        world.close()


rig.play(sys.argv[1] if len(sys.argv) > 1 else FOLDER / "record.txt", story)
