"""Partitions nodes of a soak from all engines, while callers, the store and the other nodes still reach them.
New connections are refused or hang (engine_link.cc); open ones are reset, live on, or hang: the engine then
neither gets nor sends anything until the link is back. Or cuts a zone off: nodes lose their links to the engines
of one zone, which live on, by resets. A node's kernel would give up a hanging connection with
unacknowledged bytes; loopback acknowledges them, so the engine resets it after that time instead.
"""
import pathlib
import socket
import threading
import time

# What becomes of the open connections and of the new ones.
HANG, RESET, LIVE_ON = "hang", "reset", "live on"
WAYS = (HANG, RESET, LIVE_ON)
NEW_CONNECTIONS = {HANG: b"h", RESET: b"r", LIVE_ON: b"r"}
OPEN = b"o"
# The nodes' kernels give up unacknowledged bytes after so long.
USER_TIMEOUT_SECONDS = 1.5
HANG_LOOK_SECONDS = 0.02
# More connections than a listener without a queue takes: further ones get no answer.
FILLING = 4
REFUSING_PORT = 1


class CutOff(OSError):
    """The connection was given up while the link was down."""


class EngineLinks:
    """The links between nodes and engines. Thread-safe."""

    def __init__(self, folder, engine_host):
        self.folder, self.engine_host = pathlib.Path(folder), engine_host
        self.lock = threading.Lock()
        self.held = {}  # host of a node -> the entries of the cuts that hold for it now, the newest last
        self.cuts = []  # dicts: nodes (numbers), start, end (None while it lasts), way
        self.hanging = socket.socket()
        self.hanging.bind((engine_host, 0))
        self.hanging.listen(0)
        self.filling = [self.fill() for _ in range(FILLING)]

    def fill(self):
        """Takes a place in the queue of the listener that never accepts."""
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(self.hanging.getsockname())
        return filler

    def environment(self, number, host):
        state = self.state_file(number)
        state.write_bytes(OPEN)
        port = self.hanging.getsockname()[1]
        return f"{self.engine_host},{host},{state},{REFUSING_PORT},{port}"

    def state_file(self, number):
        return self.folder / f"engine-link-{number}"

    def way_of(self, host):
        with self.lock:
            held = self.held.get(host)
            return held[-1]["way"] if held else None

    def cut(self, nodes, way, engines):
        """Partitions nodes. Returns the entry to pass to heal()."""
        with self.lock:
            entry = {"nodes": [node.number for node in nodes], "way": way, "start": time.monotonic(),
                     "end": None, "hosts": [node.host for node in nodes]}
            self.cuts.append(entry)
            for node in nodes:
                self.held.setdefault(node.host, []).append(entry)
                self.state_file(node.number).write_bytes(NEW_CONNECTIONS[way])
        if way == RESET:
            for engine in engines:
                engine.reset_connections(entry["hosts"])
        return entry

    def heal(self, entry):
        """Ends a cut; another one that overlaps it goes on."""
        with self.lock:
            entry["end"] = time.monotonic()
            for number, host in zip(entry["nodes"], entry["hosts"]):
                self.held[host].remove(entry)
                held = self.held[host]
                self.state_file(number).write_bytes(NEW_CONNECTIONS[held[-1]["way"]] if held else OPEN)

    def cut_zone(self, nodes, zone, engines):
        """Resets the connections of these nodes to the engines of the zone, and refuses new ones until heal_zone().
        The nodes must not be partitioned otherwise meanwhile."""
        lost = [engine for engine in engines if engine.zone == zone]
        ports = [engine.address.rpartition(":")[2] for engine in lost]
        for node in nodes:
            self.state_file(node.number).write_text(",".join([NEW_CONNECTIONS[RESET].decode(), *ports]))
        for engine in lost:
            engine.reset_connections([node.host for node in nodes])

    def heal_zone(self, nodes):
        for node in nodes:
            self.state_file(node.number).write_bytes(OPEN)

    def pass_link(self, host):
        """Blocks while the link to the node hangs. Raises CutOff where its connection was given up meanwhile."""
        start = time.monotonic()
        while self.way_of(host) == HANG:
            if time.monotonic() - start > USER_TIMEOUT_SECONDS:
                raise CutOff
            time.sleep(HANG_LOOK_SECONDS)
