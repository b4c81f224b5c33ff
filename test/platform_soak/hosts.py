"""Loopback addresses of a run's own: runs side by side, and processes that a run left behind, must
not reach each other.
"""
import os
import socket

CLAIM_PORT = 1099  # Outside the range that the kernel gives to connections.
# Of each node, on its own address, and of the detours between nodes. Outside that range too: the store and
# the links listen on the nodes' addresses at ports that the kernel gives.
NODE_PORTS = {"front": 10001, "ready": 10002, "peers": 10003, "metrics": 10004}
FIRST_DETOUR_PORT = 10100
FIRST_NODE = 20
NETS = 254


def is_used(net):
    """Whether a socket is still bound in the net."""
    prefix = net + "."
    for path in ("/proc/net/tcp", "/proc/net/udp"):
        with open(path) as table:
            for line in list(table)[1:]:
                local = bytes.fromhex(line.split()[1].split(":")[0])[::-1]
                if socket.inet_ntoa(local).startswith(prefix):
                    return True
    return False


def claim_net(start=None):
    """Returns (net, the socket that holds it): a free 127.x.y of this process, tried from its
    process id on."""
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
            pass  # Another run holds it.
        holder.close()
    raise RuntimeError("no free loopback net of 254 that were tried; end runs that were left")


def node_hosts(net, count):
    return [f"{net}.{FIRST_NODE + number}" for number in range(count)]
