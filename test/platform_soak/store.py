"""Simulates the users' platform's store over HTTP: objects by kind with revisions, conditional writes, lists
and watches. Each node has its own port, so that the store can reject some nodes and serve others.
Faults: refuse (503), throttle (429), reset, silent, slow, lost (applied but not answered), late (applied
some time later, not answered). Also, open connections may go silent permanently while new ones work,
and the store may be restored from a copy some seconds old: its revisions decrease and are assigned again,
a watch from a revision that it lacks gets 410, and all its responses carry the next era.
"""
import collections
import http.server
import json
import socket
import struct
import threading
import time
import urllib.parse

HISTORY = 2000
COPIES_KEPT_SECONDS = 20
LATE_SECONDS = 0.8


class Store:
    """The objects and their history. Thread-safe."""

    def __init__(self):
        self.changed = threading.Condition()
        self.revision = 0
        self.era = 1
        self.oldest = 0    # A watch from an earlier revision is rejected, as its history is gone.
        self.copies = collections.deque()  # (when, revision, objects)
        self.objects = {}  # (kind, name) -> object; objects are replaced, never modified
        self.events = []   # (revision, kind, object, whether it was removed)
        self.faults = {}   # node -> name of the fault
        self.calls = []    # (node, method, path), including rejected ones
        self.page_items = 500  # Objects on one page of a list.
        self.failing_pages = []  # Pages that are rejected once, by the name that they follow.
        self.silent_since = 0.0  # Connections opened before this time send nothing any more.
        self.seed = 0

    def put(self, kind, name, spec, revision=None, must_be_new=False):
        """Writes one object. Returns (status, object)."""
        with self.changed:
            old = self.objects.get((kind, name))
            if must_be_new and old is not None:
                return 409, old
            if not must_be_new and old is None and revision is not None:
                return 404, None
            if old is not None and revision is not None and old["meta"]["rev"] != revision:
                return 409, old
            self.revision += 1
            made = {"meta": {"name": name, "rev": self.revision, "created": 0, "finalizers": [],
                             "deleting": False}, "spec": spec, "status": {}}
            self.objects = {**self.objects, (kind, name): made}
            self._note(kind, made, False)
            return 200, made

    def remove(self, kind, name):
        with self.changed:
            gone = self.objects.get((kind, name))
            if gone is not None:
                self.objects = {key: thing for key, thing in self.objects.items() if key != (kind, name)}
                self.revision += 1
                self._note(kind, gone, True)

    def _note(self, kind, thing, gone):
        self.events.append((self.revision, kind, thing, gone))
        del self.events[:-HISTORY]
        now = time.monotonic()
        self.copies.append((now, self.revision, self.objects))
        while len(self.copies) > 1 and self.copies[0][0] < now - COPIES_KEPT_SECONDS:
            self.copies.popleft()
        self.changed.notify_all()

    def begin_copies(self):
        """Discards older copies, so that restore() never goes back behind what was written until now."""
        with self.changed:
            self.copies = collections.deque([(time.monotonic(), self.revision, self.objects)])

    def restore(self, seconds):
        """Restores the newest copy that is at least this old, or else the oldest one. Returns how many revisions
        were lost."""
        with self.changed:
            then = time.monotonic() - seconds
            older = [copy for copy in self.copies if copy[0] <= then] or [self.copies[0]]
            lost = self.revision - older[-1][1]
            _, self.revision, self.objects = older[-1]
            self.copies = collections.deque(older)
            self.events, self.oldest = [], self.revision
            self.era += 1
            self.changed.notify_all()
            return lost

    def list(self, kind, after=""):
        """Returns the page that follows the object of that name."""
        with self.changed:
            items = [thing for (each, name), thing in sorted(self.objects.items())
                     if each == kind and name > after]
            return {"items": items[:self.page_items], "more": len(items) > self.page_items,
                    "at": self.revision}

    def watch(self, kind, since, wait_seconds):
        """Returns the events after the revision, or None if their history is gone."""
        end = time.monotonic() + wait_seconds
        with self.changed:
            while True:
                if since > self.revision or since < self.oldest:
                    return None
                if self.events and since + 1 < self.events[0][0]:
                    return None
                found = [{"object": thing, "gone": gone} for revision, each, thing, gone
                         in self.events if each == kind and revision > since]
                left = end - time.monotonic()
                if found or left <= 0:
                    return {"events": found, "at": self.revision}
                self.changed.wait(left)

    def silence_connections(self):
        """Stops sending on all connections that are open now, without closing them."""
        self.silent_since = time.monotonic()

    def forget_history(self):
        with self.changed:
            del self.events[:-1]
            self.oldest = self.revision - 1 if self.events else self.revision


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    store = None
    node = None

    def log_message(self, *_):
        pass

    def setup(self):
        super().setup()
        self.opened_at = time.monotonic()

    def handle(self):
        try:
            super().handle()
        except (OSError, ValueError):
            pass  # The node disconnected, or this server closed the connection.

    def wait_if_silent(self):
        """On a silent connection, waits until the node closes it and then raises ConnectionAbortedError."""
        if self.opened_at >= self.store.silent_since:
            return
        while self.connection.recv(4096):
            pass  # Requests are read and ignored.
        raise ConnectionAbortedError

    def finish(self):
        try:
            super().finish()
        except (OSError, ValueError):
            pass

    def fault(self):
        return self.store.faults.get(self.node)

    def answer(self, status, body):
        self.wait_if_silent()
        text = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Store-Era", str(self.store.era))
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    def drop(self):
        """Resets the connection."""
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_connection = True
        self.connection.close()

    def turned_away(self):
        """Records the call. Returns whether a fault handled it."""
        self.wait_if_silent()
        self.store.calls.append((self.node, self.command, self.path))
        return self.is_faulty()

    def is_faulty(self):
        fault = self.fault()
        if fault == "refuse":
            self.answer(503, {})
        elif fault == "throttle":
            self.answer(429, {})
        elif fault == "reset":
            self.drop()
        elif fault == "silent":
            time.sleep(2)
            self.drop()
        else:
            if fault == "slow":
                time.sleep(0.2)
            return False
        return True

    def parts(self):
        split = urllib.parse.urlsplit(self.path)
        words = [urllib.parse.unquote(word) for word in split.path.split("/")[3:]]
        return words, urllib.parse.parse_qs(split.query)

    def do_GET(self):
        if self.turned_away():
            return
        words, query = self.parts()
        if len(words) == 2:
            thing = self.store.objects.get((words[0], words[1]))
            self.answer(404 if thing is None else 200, thing or {})
        elif "watch" in query:
            wait = int(query.get("wait-ms", ["0"])[0]) / 1000
            found = self.store.watch(words[0], int(query["watch"][0]), wait)
            if self.is_faulty():
                return
            self.answer(410 if found is None else 200, found or {})
        else:
            after = query.get("after", [""])[0]
            if after in self.store.failing_pages:
                self.store.failing_pages.remove(after)
                self.answer(503, {})
                return
            self.answer(200, self.store.list(words[0], after))

    def write(self, must_be_new):
        body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        if self.turned_away():
            return
        words, _ = self.parts()
        name = body["meta"]["name"] if must_be_new else words[1]
        revision = body.get("meta", {}).get("rev")
        change = lambda: self.store.put(words[0], name, body["spec"], revision, must_be_new)
        if self.fault() == "late":
            threading.Timer(LATE_SECONDS, change).start()
            self.drop()
            return
        status, thing = change()
        if self.fault() == "lost":
            self.drop()
            return
        self.answer(status, thing or {})

    def do_POST(self):
        self.write(True)

    def do_PUT(self):
        self.write(False)


def serve(store, node, host):
    """Starts a listener for one node; returns its address."""
    handler = type("NodeHandler", (Handler,), {"store": store, "node": node})
    server = http.server.ThreadingHTTPServer((host, 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"{host}:{server.server_address[1]}"
