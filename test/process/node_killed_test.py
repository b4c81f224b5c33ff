#!/usr/bin/env python3
"""kill -9 of a node in the middle of a stream and of a payment: the stream goes on through another
node without gap or overlap, the payment runs once."""
import threading

from process_testing import Stream, ask, check, new_key, pay, run, runs_of

TOKENS = 60


def stream_goes_on(deployment):
    _, whole, _ = ask(deployment.nodes[2], "node killed", TOKENS)
    stream = Stream.start(deployment.nodes[0], "node killed", TOKENS).read_tokens(10)
    deployment.nodes[0].kill()
    stream.read_all()
    check(not stream.done, "the killed node cannot have ended the stream")
    rest = Stream.resume(deployment.nodes[1], stream.stream_id, stream.position)
    rest.position = stream.position
    rest.read_all()
    check(rest.done, f"the resumed stream did not end: {rest.error}")
    check(stream.text + rest.text == whole, "the two parts are not the whole answer")
    stranger = Stream.resume(deployment.nodes[1], stream.stream_id, 0, tenant="kuttanad")
    check(stranger.response.status == 404, "another tenant must not see the stream")


def payment_runs_once(deployment):
    for standin in deployment.applications:
        standin.fault(kind="slow", duration_ms=1500)
    key = new_key()
    body = {"claim": 7, "amount": 120}
    caller = threading.Thread(target=lambda: pay_ignoring_errors(deployment.nodes[1], key, body))
    caller.start()
    while not runs_of(deployment, key):
        pass
    deployment.nodes[1].kill()
    caller.join()
    status, answer = pay(deployment.nodes[2], key, body)
    check(status in (409, 503), f"the resend must be told that the outcome is unknown: {answer}")
    check(answer["error"]["run"] == "unknown", f"run must be unknown: {answer}")
    check(len(runs_of(deployment, key)) == 1, "the payment ran twice")


def pay_ignoring_errors(node, key, body):
    try:
        pay(node, key, body)
    except OSError:
        pass


def test(deployment):
    stream_goes_on(deployment)
    payment_runs_once(deployment)


run(test, base_port=18300, engines_per_zone=1)
