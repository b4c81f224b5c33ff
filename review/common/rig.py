"""Parts shared by the scripts of this review: the platform's store, engines, clients and gateway processes on
loopback addresses. The store is the project's own stand-in (test/platform_soak/store.py); engines and clients
are new and do only what PROTOCOL.md allows them.
"""
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "test" / "platform_soak"))

import hosts  # noqa: E402
import store as platform_store  # noqa: E402

GATEWAY = ROOT / "target" / "fernmoor-gateway"  # `run` of deploy/system.toml
HELD, BROKEN, NOT_RUN = 0, 1, 2
TOKEN = set("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to a file, a line each with the milliseconds since its start.
    Thread-safe."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start, self.lock = time.monotonic(), threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{(time.monotonic() - self.start) * 1000:6.0f} ms {text}\n")
            self.file.flush()


class Rig:
    """A store, and gateways that follow it."""

    def __init__(self, record, bounds, nodes, zones=("zone-a", "zone-b", "zone-c"), memory_mb=120):
        if not GATEWAY.exists():
            raise CannotRun(f"{GATEWAY} is not built")
        self.record, self.bounds, self.memory_mb, self.zones = record, bounds, memory_mb, zones
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net, self.claim = hosts.claim_net()
        self.hosts = hosts.node_hosts(self.net, nodes)
        self.ports = hosts.NODE_PORTS
        self.store = platform_store.Store()
        self.processes, self.logs = {}, []
        self.store_at = {number: platform_store.serve(self.store, number, host)
                         for number, host in enumerate(self.hosts)}

    def configure(self, version, routes, services, tenants):
        self.store.put("config", "main", {
            "version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})

    def settings(self, number):
        host, ports = self.hosts[number], self.ports
        zone = self.zones[number % len(self.zones)]
        lines = [f"node-name=front-{zone}-{number}", "role=fernmoor", "machine-class=front",
                 "serves=front,control", f"ip={host}", f"zone={zone}", "region=region",
                 *[f"zones.{each}=region" for each in self.zones],
                 f"listen.front={host}:{ports['front']}", f"listen.readiness={host}:{ports['ready']}",
                 f"listen.control={host}:{ports['peers'] + 50}",
                 f"port-range={ports['peers']},{ports['peers'] + 15}",
                 "seeds=" + ",".join(f"{each}:{ports['peers'] + 50}" for each in self.hosts[:3]),
                 "bootstrap=true", "in-tolerance=false", "limits.cpu-share=0.25", "limits.cores=1",
                 f"limits.memory-mb={self.memory_mb}", "limits.max-fds=4100", "limits.link-mbps=1000.0",
                 "limits.disk-mb=0", "discovery=platform", "entry=vip", "heartbeat-ms=1200",
                 *[f"bounds.{name}={value}" for name, value in self.bounds.items()],
                 f"platform.addr={self.store_at[number]}", "platform.form=objects",
                 "platform.writes-per-s=400", "platform.reads-per-s=2000", "platform.history-s=20",
                 "platform.value-bytes=1048576", "platform.ttl-min-ms=1000"]
        path = self.folder / f"settings-{number}.conf"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, number):
        log = open(self.folder / f"gateway-{number}.log", "ab")
        self.logs.append(log)
        environment = dict(os.environ, FERNMOOR_SETTINGS=str(self.settings(number)))
        self.processes[number] = subprocess.Popen([str(GATEWAY)], cwd=ROOT, env=environment, stdout=log,
                                                  stderr=log)
        self.record(f"gateway {number} started at {self.hosts[number]}")

    def start_all(self):
        for number in range(len(self.hosts)):
            self.start(number)

    def front(self, number):
        return self.hosts[number], self.ports["front"]

    def is_ready(self, number):
        try:
            with socket.create_connection((self.hosts[number], self.ports["ready"]), 1) as connection:
                connection.sendall(b"GET /fernmoor/readyz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
                return connection.recv(64).split(b" ")[1:2] == [b"200"]
        except OSError:
            return False

    def await_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while not all(self.is_ready(number) for number in self.processes):
            if time.monotonic() > end:
                raise CannotRun("the gateways did not become ready")
            time.sleep(0.1)

    def signal(self, number, which):
        self.record(f"gateway {number}: {signal.Signals(which).name}")
        self.processes[number].send_signal(which)

    def ended(self):
        """Returns the gateways that ended by themselves."""
        return [number for number, process in self.processes.items() if process.poll() is not None]

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for log in self.logs:
            log.close()
        self.claim.close()


def read_head(stream):
    """Reads a start line and header fields. Returns (start line, list of (name, value)); (None, []) at the end.
    Raises ValueError where RFC 9112 demands that the message is rejected."""
    line = stream.readline(65536)
    if not line:
        return None, []
    start, fields = line.decode("latin-1").rstrip("\r\n"), []
    while True:
        line = stream.readline(65536)
        if not line.endswith(b"\r\n"):
            raise ValueError("incomplete header")
        if line == b"\r\n":
            return start, fields
        name, colon, value = line.decode("latin-1")[:-2].partition(":")
        if not colon or not name or not set(name) <= TOKEN:
            raise ValueError(f"malformed field {line!r}")
        fields.append((name, value.strip()))


def values_of(fields, name):
    return [value for each, value in fields if each.lower() == name.lower()]


def value_of(fields, name, default=None):
    return next(iter(values_of(fields, name)), default)


def read_body(stream, fields):
    if [each.lower() for each in values_of(fields, "Transfer-Encoding")] == ["chunked"]:
        body = b""
        while True:
            size = int(stream.readline(1024).split(b";")[0], 16)
            body += stream.read(size)
            stream.readline(1024)
            if size == 0:
                return body
    if values_of(fields, "Transfer-Encoding"):
        raise ValueError("unknown transfer encoding")
    lengths = values_of(fields, "Content-Length")
    if len(lengths) > 1 or not all(each.isdigit() for each in lengths):
        raise ValueError("bad length")
    size = int(lengths[0]) if lengths else 0
    body = stream.read(size)
    if len(body) < size:
        raise ValueError("incomplete body")
    return body


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass


def call(address, method, path, headers, body=b"", timeout=8.0):
    """One client attempt on a connection of its own. Returns (status, fields, body), or (None, [], b"") if the
    connection ended without a complete answer."""
    try:
        with socket.create_connection(address, 1.0) as connection:
            connection.settimeout(timeout)
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
            length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
            connection.sendall((head + length + "\r\n").encode("latin-1") + body)
            with connection.makefile("rb") as stream:
                start, fields = read_head(stream)
                if start is None:
                    return None, [], b""
                return int(start.split(" ")[1]), fields, read_body(stream, fields)
    except (OSError, ValueError, IndexError):
        return None, [], b""


class Engine:
    """One incarnation of an engine: an HTTP server that works on requests, `run` being what it does with one.
    Subclasses answer by run(connection, start line, fields, body)."""

    def __init__(self, record, store, service, name, host, port=0, zone="zone-a", slots=16, models=None,
                 born=False):
        self.record, self.store, self.service, self.id, self.zone = record, store, service, name, zone
        self.slots, self.models, self.is_up, self.sockets = slots, models, True, set()
        self.born = int(time.time() * 1000) if born else None
        self.sequence, self.lock = 0, threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(128)
        self.host, self.port = self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        spec = {"service": self.service, "addr": f"{self.host}:{self.port}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "cold-left-ms": 0, "seq": self.sequence}
        if self.models is not None:
            spec["stage"], spec["models"] = "both", self.models
        if self.born is not None:
            spec["born"] = self.born
        return spec

    def beat(self):
        """Writes its entry, as an engine does about each heartbeat-ms. A write that changes nothing raises no
        revision."""
        stored = self.store.objects.get(("servers", self.id))
        if self.is_up and (stored is None or stored["spec"] != self.entry()):
            self.store.put("servers", self.id, self.entry())

    def crash(self):
        self.is_up = False
        self.record(f"engine {self.id} crashes")
        try:
            self.listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.listener.close()
        with self.lock:
            sockets = list(self.sockets)
        for each in sockets:
            reset(each)

    def accept(self):
        while self.is_up:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.sockets.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def send(self, connection, status, fields, body=b""):
        head = f"HTTP/1.1 {status} Status\r\n" + "".join(f"{n}: {v}\r\n" for n, v in fields)
        connection.sendall((head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    def serve(self, connection):
        try:
            with connection.makefile("rb") as stream:
                while self.is_up and self.serve_one(connection, stream):
                    pass
        except (OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.sockets.discard(connection)
            connection.close()

    def serve_one(self, connection, stream):
        """Serves one request. Returns whether the connection stays open."""
        try:
            start, fields = read_head(stream)
            if start is None:
                return False
            words = start.split(" ")
            if len(words) != 3 or words[2] != "HTTP/1.1":
                raise ValueError(f"malformed request line {start!r}")
            body = read_body(stream, fields)
        except ValueError as fault:
            self.record(f"engine {self.id} answers 400 and closes: {fault}")
            self.send(connection, 400, [("X-Not-Executed", "1"), ("Connection", "close")])
            return False
        if words[1] == "/fernmoor/report":
            self.report(connection)
        elif value_of(fields, "X-Expect-Instance", self.id) != self.id:
            self.send(connection, 421, [("X-Request-Id", value_of(fields, "X-Request-Id", "")),
                                        ("X-Instance-Id", self.id)])
        elif not value_of(fields, "X-Request-Id"):
            self.send(connection, 400, [("X-Not-Executed", "1")])
        else:
            self.run(connection, start, fields, body)
        return True

    def report(self, connection):
        body = {"stage": "both", "models": self.models or [], "busy": False, "seq": 0, "queued": 0, "active": 0,
                "kv-used": 0, "kv-total": 90000, "handles": 0}
        if self.born is not None:
            body["born"] = self.born
        self.send(connection, 200, [("Content-Type", "application/json")], json.dumps(body).encode())

    def run(self, connection, start, fields, body):
        raise NotImplementedError


def play(path, story):
    """Plays a case: story(record, trouble) returns what broke the rule, a list of texts. What was sent, answered and run
    is written to the file at this path. Ends the process."""
    record = Record(path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"TROUBLE={1 if trouble else 0}")
    try:
        broken = story(record, trouble)
    except CannotRun as fault:
        record(f"could not run: {fault}")
        print(f"could not run: {fault}")
        os._exit(NOT_RUN)
    except Exception as fault:  # noqa: BLE001  (a fault of the script is no verdict)
        record(f"could not run: {fault!r}")
        print(f"could not run: {fault!r}")
        os._exit(NOT_RUN)
    for each in broken:
        record(f"RULE BROKEN: {each}")
    verdict = f"rule broken {len(broken)} times, first: {broken[0]}" if broken else "rule held"
    record(verdict)
    print(verdict, flush=True)
    os._exit(BROKEN if broken else HELD)
