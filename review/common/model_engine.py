"""An engine that serves a model, and the rule WALL judged by what such engines saw."""
import threading
import time

import rig

MODEL, READ_PER_MS, EVENTS = "m0", 38.4, 13  # As on the sheet of neerkaval: prompt tokens read in a ms.


class ModelEngine(rig.Engine):
    """Reads prompts one after the other and keeps their parts in memory under X-Cache-Salt, as PROTOCOL.md says.
    `uses` lists each use of kept parts: (id, tenant, part, id and tenant of the request that made it, salt, time)."""

    def __init__(self, *arguments, uses, **options):
        self.uses, self.kept, self.reading = uses, {}, threading.Lock()
        self.bare = 0
        super().__init__(*arguments, models=[{"name": MODEL, "version": 1, "adapters": []}], born=True, **options)

    def run(self, connection, start, fields, body):
        identity, tenant = rig.value_of(fields, "X-Request-Id"), rig.value_of(fields, "X-Tenant")
        salt = rig.value_of(fields, "X-Cache-Salt")  # None counts as one text for all
        if rig.value_of(fields, "X-Expect-Version", "1") != "1":
            self.send(connection, 421, [("X-Request-Id", identity)])
            return
        parts = [each.split(":") for each in rig.value_of(fields, "X-Prefix-Hash", "").split(",")]
        if salt is None:
            self.bare += 1
            self.record(f"engine {self.id} runs {identity} of {tenant} without X-Cache-Salt")
        with self.reading:
            unread, chain, found = 0, (salt, MODEL), True
            for part, tokens in parts:
                chain += (part,)
                found = found and chain in self.kept
                if found:
                    maker, made_for = self.kept[chain]
                    self.uses.append((identity, tenant, part, maker, made_for, salt, time.monotonic()))
                else:
                    unread += int(tokens)
            time.sleep(unread / READ_PER_MS / 1000)
            chain = (salt, MODEL)
            for part, _ in parts:
                chain += (part,)
                self.kept.setdefault(chain, (identity, tenant))
        first = int(rig.value_of(fields, "Last-Event-Id", "0")) + 1
        names = [("X-Request-Id", identity), ("X-Server-Stamp", f"{self.id}.{identity}"),
                 ("X-Weight-Versions", "1"), ("Content-Type", "text/event-stream"),
                 ("Transfer-Encoding", "chunked")]
        connection.sendall(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in names) + "\r\n").encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {identity} {number}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.006)
        connection.sendall(b"0\r\n\r\n")


def wall_broken(uses, isolated):
    """Returns a text for each use of a part that breaks the rule. isolated: function of a tenant and a use's time."""
    return [f"WALL: {identity} of {tenant} ran on part {part} that {maker} of {made_for} made, salt {salt}"
            for identity, tenant, part, maker, made_for, salt, at in uses
            if tenant != made_for and (isolated(tenant, at) or isolated(made_for, at))]
