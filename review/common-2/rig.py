"""What the scripts of the second review share: the platform's store, gateways started as the deploy file says, simple
engines and raw callers, all on loopback addresses of a net of their own, and the record of a run.
"""
import json
import os
import pathlib
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "test" / "platform_soak"))

import hosts as own_hosts  # noqa: E402  (the path above comes first)
import store as platform_store  # noqa: E402

GATEWAY = ROOT / "target" / "fernmoor-gateway"
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds and limits of kit/more/system/SYSTEM.md (Neerkaval) and of the settings in DEPLOY.md.
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
    "grace-s": 8, "lost-slack-ms": 200, "config-ms": 2000, "revert-slack-ms": 250, "outer-ms": 5000,
    "fail-closed": "true", "revoke-ms": 5000, "budget-ratio": 0.2, "budget-window-s": 10, "retry-slack": 54,
    "recover-s": 12, "transit-ms": 120, "retry-after-s": 10, "fencing": "true", "lease-ms": 3000, "thaw-ms": 300,
    "version-ms": 8000, "version-all-ms": 11000}
PORTS = own_hosts.NODE_PORTS


class Record:
    """What was sent, answered and run, one line each, in the file of that path."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w")

    def note(self, text):
        with self.lock:
            self.file.write(f"{(time.monotonic() - self.started) * 1000:9.1f} ms  {text}\n")
            self.file.flush()


class Net:
    """A loopback net that no other run uses."""

    def __init__(self):
        self.net, self.holder = own_hosts.claim_net()

    def host(self, number):
        return f"{self.net}.{number}"


class Gateway:
    """One gateway process with an address and a settings file of its own."""

    started = []

    def __init__(self, name, host, store, seeds, folder, record, zone="zone-a", extra=(),
                 core=None):
        """core: the processor that the process has to itself, as on a machine with one; None: all of them."""
        self.name, self.host, self.record, self.core = name, host, record, core
        self.front = (host, PORTS["front"])
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.settings = pathlib.Path(folder) / f"{name}.conf"
        self.store_address = platform_store.serve(store, name, host)
        self.zone, self.extra = zone, list(extra)
        self.process = None
        self.write_settings(seeds)

    def write_settings(self, seeds):
        lines = [
            f"node-name={self.name}", "role=fernmoor", "machine-class=front", "serves=front,control", f"ip={self.host}",
            f"zone={self.zone}", "region=region-1", f"zones.{self.zone}=region-1",
            f"listen.front={self.host}:{PORTS['front']}", f"listen.readiness={self.host}:{PORTS['ready']}",
            f"listen.control={self.host}:10005", f"port-range={PORTS['peers']},{PORTS['peers'] + 15}",
            "seeds=" + ",".join(f"{host}:10005" for host in seeds), "bootstrap=true", "in-tolerance=false",
            "limits.cpu-share=0.25", "limits.cores=1", "limits.memory-mb=260", "limits.max-fds=4100",
            "limits.link-mbps=1000.0", "limits.disk-mb=0", "discovery=platform", "entry=vip", "heartbeat-ms=1200",
            "contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,platform",
            "fault-tolerance.machines=2", "fault-tolerance.zones=0", "fault-tolerance.regions=0",
            f"platform.addr={self.store_address}", "platform.form=objects", "platform.writes-per-s=400",
            "platform.reads-per-s=2000", "platform.history-s=20", "platform.value-bytes=1048576",
            "platform.ttl-min-ms=1000"]
        lines += [f"bounds.{name}={value}" for name, value in BOUNDS.items()] + self.extra
        self.settings.write_text("\n".join(lines) + "\n")

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["FERNMOOR_SETTINGS"] = str(self.settings)
        cores = os.sched_getaffinity(0)
        own = {sorted(cores)[self.core % len(cores)]} if self.core is not None else cores
        with open(self.log, "ab") as log:
            os.sched_setaffinity(0, own)  # Of this thread, whose child inherits it.
            self.process = subprocess.Popen([str(GATEWAY)], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                            env=environment)
            os.sched_setaffinity(0, cores)
        Gateway.started.append(self)
        self.record.note(f"{self.name} started at {self.host}")

    def signal(self, number):
        self.process.send_signal(number)

    def is_ready(self):
        try:
            with socket.create_connection((self.host, PORTS["ready"]), 1) as connection:
                connection.sendall(b"GET /fernmoor/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.is_ready():
                return
            time.sleep(0.05)
        raise RuntimeError(f"{self.name} was not ready within {seconds} s")

    def close(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Message:
    """A request or an answer as it was read: first line, headers (names in lower case), body."""

    def __init__(self, first, headers, body, is_whole):
        self.first, self.headers, self.body, self.is_whole = first, headers, body, is_whole

    def status(self):
        return int(self.first.split()[1])


def read_head(reader):
    """Returns (first line, headers), or None at the end of the connection."""
    first = reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = reader.readline()
        if line in (b"\r\n", b""):
            return first.decode("latin-1").strip(), headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()


def read_message(reader, is_answer):
    head = read_head(reader)
    if head is None:
        return None
    first, headers = head
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body, is_whole = b"", False
        while True:
            line = reader.readline()
            if not line:
                break
            size = int(line.split(b";")[0], 16)
            piece = reader.read(size)
            body += piece
            if len(piece) < size or not reader.readline():
                break
            if size == 0:
                is_whole = True
                break
        return Message(first, headers, body, is_whole)
    if "content-length" in headers:
        size = int(headers["content-length"])
        body = reader.read(size)
        return Message(first, headers, body, len(body) == size)
    return Message(first, headers, reader.read() if is_answer else b"", True)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.close()


class Engine:
    """An engine of one service; `serve` answers each request."""

    def __init__(self, engine_id, host, service, store, record, slots=16, models=(), zone="zone-a"):
        self.id, self.service, self.store, self.record = engine_id, service, store, record
        self.slots, self.models, self.zone = slots, list(models), zone
        self.state, self.beats, self.is_over = "ready", 0, False
        self.runs = []  # (time, request id, tenant)
        self.lock = threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, 0))
        self.listener.listen(512)
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def beat(self):
        while not self.is_over:
            self.register()
            time.sleep(1.2)

    def register(self):
        self.beats += 1
        self.store.put("servers", self.id, {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": "s1", "slots": self.slots,
            "state": self.state, "cold-left-ms": 0, "seq": self.beats, "models": self.models})

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.talk, args=(connection,), daemon=True).start()

    def talk(self, connection):
        reader = connection.makefile("rb")
        try:
            while True:
                request = read_message(reader, False)
                if request is None or not request.is_whole or not self.take(connection, request):
                    break
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def take(self, connection, request):
        """Answers one request. Returns whether the connection stays open."""
        request_id = request.headers.get("x-request-id", "")
        if request.headers.get("x-expect-instance", self.id) != self.id:
            self.answer(connection, 421, request_id, b"")
            return True
        with self.lock:
            self.runs.append((time.monotonic(), request_id, request.headers.get("x-tenant")))
        self.record.note(f"run      {self.id} {request_id} {request.first}")
        self.serve(connection, request, request_id)
        return True

    def serve(self, connection, request, request_id):
        self.answer(connection, 200, request_id, b"answer " + request_id.encode())

    def stamp(self, request_id):
        return f"{self.id}.{request_id}"

    def answer(self, connection, status, request_id, body, more=()):
        head = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request_id}", f"X-Server-Stamp: {self.stamp(request_id)}",
                f"Content-Length: {len(body)}", *more]
        connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode() + body)


def put_config(store, version, routes, services, limits=None, tenants=None):
    spec = {"version": version, "routes": routes, "services": services,
            "limits": limits or {"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
                                 "idle-timeout-ms": 15000}}
    if tenants is not None:
        spec["tenants"] = tenants
    store.put("config", "main", spec)


def route(name, path, kind, service, timeout_ms=4000, attempts=1, **more):
    return {"name": name, "host": "desk.example", "path-prefix": path, "type": kind, "timeout-ms": timeout_ms,
            "target-ms": 300, "priority": 1, "service": service, "attempts": attempts, "public": False,
            "sticky": False, "resumable": False, **more}


def service(name, **more):
    return {"name": name, "health-path": "/healthz", "max-conns": 100, "protocol": "h1", "tls": False, **more}


def request_bytes(method, path, request_id, body=b"", deadline_ms=4000, headers=()):
    lines = [f"{method} {path} HTTP/1.1", "Host: desk.example", f"X-Request-Id: {request_id}",
             f"X-Deadline-Ms: {deadline_ms}", *headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Finished(Exception):
    """The verdict of a case."""

    def __init__(self, status, words):
        super().__init__(words)
        self.status = status


def finish(status, record, words):
    record.note(words)
    raise Finished(status, words)


def play(main, folder):
    """Plays a case and exits: with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    status = NOT_RUN
    if GATEWAY.exists():
        try:
            main()
        except Finished as end:
            print(f"{pathlib.Path(folder).name}: {end}", flush=True)
            status = end.status
        except Exception as fault:  # Whatever kept the case from running.
            print(f"{pathlib.Path(folder).name}: couldn't run: {fault!r}", flush=True)
    else:
        print(f"{GATEWAY} is missing; build it as the deploy file says", flush=True)
    for gateway in list(Gateway.started):
        gateway.close()
    sys.stdout.flush()
    os._exit(status)  # Threads of the stand-ins may still wait on their sockets.
