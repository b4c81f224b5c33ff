"""What the process tests share: requests, streams, and checks that name what failed."""
import http.client
import json
import pathlib
import sys
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

import cluster  # noqa: E402  (the path above comes first)

TENANT = "pamba"
PAYER = "north-office"


def build_folder():
    return pathlib.Path(sys.argv[1]).resolve()


def check(condition, what):
    if not condition:
        raise AssertionError(what)


def new_key():
    return f"{int(time.time())}-{uuid.uuid4()}"


def completion_body(prompt, tokens, stream):
    return {"model": "village-alerts", "prompt": prompt, "max_tokens": tokens, "stream": stream}


def ask(node, prompt="the water rises", tokens=4):
    """A whole answer; returns (status, text of the answer or of the error, headers)."""
    status, headers, text = cluster.call("POST", node.url + "/v1/completions",
                                         completion_body(prompt, tokens, False),
                                         key=cluster.tenant_key(TENANT))
    if status == 200:
        text = json.loads(text)["choices"][0]["text"]
    return status, text, headers


def pay(node, key, body, timeout=20):
    """A payment; returns (status, parsed answer)."""
    status, headers, text = cluster.call("POST", node.url + "/v1/applications/payment", body,
                                         key=cluster.tenant_key(PAYER), timeout=timeout,
                                         headers={"Idempotency-Key": key})
    return status, json.loads(text)


def runs_of(deployment, key):
    return [run for standin in deployment.applications for run in standin.record()["runs"]
            if run["key"] == key]


class Stream:
    """An open stream of chunks, read one by one."""

    def __init__(self, node, method, path, body=None, tenant=TENANT):
        host = node.url[len("http://"):]
        self.connection = http.client.HTTPConnection(host, timeout=30)
        headers = {"Authorization": "Bearer " + cluster.tenant_key(tenant)}
        self.connection.request(method, path, None if body is None else json.dumps(body), headers)
        self.response = self.connection.getresponse()
        self.text = ""
        self.position = 0
        self.stream_id = self.response.headers.get("X-Fernmoor-Stream")
        self.done = False
        self.error = None

    @classmethod
    def start(cls, node, prompt, tokens):
        return cls(node, "POST", "/v1/completions", completion_body(prompt, tokens, True))

    @classmethod
    def resume(cls, node, stream_id, position, tenant=TENANT):
        return cls(node, "GET", f"/v1/streams/{stream_id}?position={position}", tenant=tenant)

    def read_chunk(self):
        """Takes one event; returns False at the end or where the connection broke."""
        while True:
            try:
                line = self.response.readline()
            except (OSError, http.client.HTTPException):
                return False
            if not line:
                return False
            if not line.startswith(b"data: "):
                continue
            data = line[len(b"data: "):].decode().strip()
            if data == "[DONE]":
                self.done = True
                return False
            chunk = json.loads(data)
            if "error" in chunk:
                self.error = chunk["error"]
                return False
            self.stream_id = chunk.get("stream", self.stream_id)
            piece = chunk["choices"][0]["text"]
            if piece:
                check(chunk["position"] == self.position, f"gap or overlap at {chunk}")
                self.position += piece.count(" ")
                self.text += piece
            return True

    def read_all(self):
        while self.read_chunk():
            pass
        return self

    def read_tokens(self, count):
        while self.position < count and self.read_chunk():
            pass
        return self


def run(test, **options):
    """Runs a test function on a fresh deployment."""
    with cluster.Cluster(build_folder(), **options) as deployment:
        cluster.wait_for_claim_group(deployment)
        test(deployment)
    print("ok")
