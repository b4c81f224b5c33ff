#!/usr/bin/env python3
"""Requests whose end two readers could see at different places are refused with 400, and nothing
that follows on their connection is taken for a request. No key adds headers to what engines get."""
import json
import socket
import urllib.parse

from process_testing import PAYER, TENANT, check, cluster, completion_body, run

BODY = json.dumps(completion_body("the water rises", 4, False)).encode()
SMUGGLED = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
READ_TIMEOUT_SECONDS = 20


def request(framing, body):
    head = ("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
            f"Authorization: Bearer {cluster.tenant_key(TENANT)}\r\n")
    return head.encode() + framing + b"\r\n" + body


def exchange(node, data):
    """Sends bytes and returns all that comes until the node closes the connection."""
    address = urllib.parse.urlparse(node.url)
    with socket.create_connection((address.hostname, address.port)) as connection:
        connection.settimeout(READ_TIMEOUT_SECONDS)
        connection.sendall(data)
        received = b""
        try:
            while True:
                part = connection.recv(65536)
                if not part:
                    return received
                received += part
        except ConnectionResetError:
            return received


def test(deployment):
    node = deployment.nodes[0]
    length = f"Content-Length: {len(BODY)}\r\n".encode()
    chunk = f"{len(BODY):x}\r\n".encode() + BODY + b"\r\n"
    cases = {
        "two different lengths": request(length + b"Content-Length: 5\r\n", BODY),
        "the same length twice": request(length + length, BODY),
        "a length beside chunks": request(b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
                                          chunk + b"0\r\n\r\n"),
        "a negative length": request(b"Content-Length: -5\r\n", b""),
        "a length that is no number": request(b"Content-Length: five\r\n", b""),
        "an encoding beside chunks": request(b"Transfer-Encoding: gzip, chunked\r\n",
                                             chunk + b"0\r\n\r\n"),
    }
    for name, data in cases.items():
        answer = exchange(node, data + SMUGGLED)
        check(answer.startswith(b"HTTP/1.1 400 ") or answer == b"", f"{name}: {answer[:300]!r}")
        check(b"\"ok\"" not in answer, f"{name}: what followed was served: {answer[:600]!r}")
        check(answer.count(b"HTTP/1.1 ") <= 1, f"{name}: {answer[:600]!r}")
    # A lookup may be repeated, so its key is no claim's and goes on as it is.
    status, _, answer = cluster.call("POST", node.url + "/v1/applications/claim-lookup", {"claim": 1},
                                     key=cluster.tenant_key(PAYER),
                                     headers={"Idempotency-Key": "1=?UTF-8?Q?=0D=0AX-Forged:_1?="})
    check(status == 400, f"a key whose encoded word ends a line: {status} {answer}")
    broken = request(b"Transfer-Encoding: chunked\r\n", b"zz\r\n" + BODY + b"\r\n0\r\n\r\n")
    answer = exchange(node, broken + SMUGGLED)
    check(answer.count(b"HTTP/1.1 ") <= 1, f"a broken chunk: {answer[:600]!r}")


run(test, base_port=18900, engines_per_zone=1)
