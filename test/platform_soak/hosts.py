"""Allocates loopback addresses for a run, so that concurrent runs, and processes left over from earlier
runs, do not reach each other.
"""
import os
import socket

CLAIM_PORT = 1099  # Outside the kernel's ephemeral port range.
# Ports of each node on its own address, and of the proxies between nodes. Also outside the ephemeral range,
# since the store and the links listen on the nodes' addresses at ephemeral ports.
NODE_PORTS = {"front": 10001, "ready": 10002, "peers": 10003, "metrics": 10004}
FIRST_DETOUR_PORT = 10100
FIRST_NODE = 20
NETS = 254


def is_used(net):
    """Returns whether any socket is still bound to an address in the net."""
    prefix = net + "."
    for path in ("/proc/net/tcp", "/proc/net/udp"):
        with open(path) as table:
            for line in list(table)[1:]:
                local = bytes.fromhex(line.split()[1].split(":")[0])[::-1]
                if socket.inet_ntoa(local).startswith(prefix):
                    return True
    return False


def claim_net(start=None):
    """Claims a free net 127.x.y, trying candidates from the process id upwards.
    Returns (net, the socket that holds the claim)."""
    first = os.getpid() if start is None else start
    for step in range(NETS):
        number = first + step * 31
        net = f"127.{1 + number % NETS}.{number // NETS % 256}"
        holder = socket.socket()
        try:
            if not is_used(net):
                holder.bind((net + ".1", CLAIM_PORT))
                return net, holder
        except OSError:
            pass  # Claimed by another run.
        holder.close()
    raise RuntimeError("no free loopback net of 254 that were tried; end runs that were left")


def node_hosts(net, count):
    return [f"{net}.{FIRST_NODE + number}" for number in range(count)]
