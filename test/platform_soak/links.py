"""Simulates narrow network links: a proxy in front of a node's listener or the store that limits the bytes
per second in each direction. All connections of a machine share its link in the order in which their
bytes arrive. Buffers are small, so that a sender blocks as soon as the link is saturated.
"""
import socket
import struct
import threading
import time

BITS_OF_A_BYTE = 8
CHUNK_BYTES = 8192
BUFFER_BYTES = 32768  # Linux doubles the value.
CONNECT_SECONDS = 5
RESET = struct.pack("ii", 1, 0)


class Direction:
    """Backlog of one direction of a link. Thread-safe."""

    def __init__(self, megabits):
        self.bytes_per_second = megabits * 1e6 / BITS_OF_A_BYTE
        self.lock = threading.Lock()
        self.free_at = 0.0
        self.carried = 0

    def reserve(self, size):
        """Returns the time at which the link will have transmitted these bytes."""
        with self.lock:
            self.free_at = max(self.free_at, time.monotonic()) + size / self.bytes_per_second
            self.carried += size
            return self.free_at


class Link:
    """Both directions of a machine's link."""

    def __init__(self, megabits):
        self.up, self.down = Direction(megabits), Direction(megabits)


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()
    except OSError:
        pass


def pump(source, target, directions):
    """Copies bytes in one direction until the connection ends. Returns whether it ended without an error."""
    try:
        while True:
            piece = source.recv(CHUNK_BYTES)
            if not piece:
                target.shutdown(socket.SHUT_WR)
                return True
            carried_at = max(each.reserve(len(piece)) for each in directions)
            time.sleep(max(0.0, carried_at - time.monotonic()))
            target.sendall(piece)
    except OSError:
        return False


def carry(near, target, there, back):
    """Proxies one connection from `near` to the address `target`. `there` and `back` are the link directions
    that its bytes pass through."""
    far = socket.socket()
    try:
        for each in (near, far):
            each.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        far.settimeout(CONNECT_SECONDS)
        far.connect(target)
        far.settimeout(None)
    except OSError:
        reset(near)
        reset(far)
        return
    ends = {}

    def answer():
        ends["well"] = pump(far, near, back)
        if not ends["well"]:
            cut()

    def cut():
        """Aborts both connections, which also unblocks the other direction."""
        for each in (near, far):
            try:
                each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    answers = threading.Thread(target=answer, daemon=True)
    answers.start()
    is_well = pump(near, far, there)
    if not is_well:
        cut()
    answers.join()
    for each in (near, far):
        if is_well and ends["well"]:
            each.close()
        else:
            reset(each)


def listen(address, target, there, back):
    """Starts a proxy at `address` (host, port) in front of `target`. Returns its address."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    listener.bind(address)
    listener.listen(64)

    def accept():
        while True:
            near, _ = listener.accept()
            threading.Thread(target=carry, args=(near, target, there, back), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener.getsockname()


def between_nodes(hosts, port, proxy_port, node, links):
    """Starts the proxies for a node's messages to all other nodes, from its own link to theirs."""
    own = links.get(node)
    for number, host in enumerate(hosts):
        theirs = links.get(number)
        there = [each.up for each in (own,) if each] + [each.down for each in (theirs,) if each]
        back = [each.up for each in (theirs,) if each] + [each.down for each in (own,) if each]
        if number != node:
            listen((host, proxy_port), (host, port), there, back)
