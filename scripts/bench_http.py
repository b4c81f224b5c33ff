"""Measures what a router adds to the first token: starts a node and stand-in engines, runs
`fernmoor-bench http`, prints a Markdown table, and ends everything that it started.

The streams kept open are served by ten engines at 30 ms a token; the measured requests by one
further, idle engine, so that the comparison is not blurred by the engines' own batches.
"""
import pathlib
import subprocess
import sys

import cluster

TENANT = "bench"
STREAM_ENGINES = 10
HEADER = """| open streams | requests measured | direct p50 (ms) | through the node p50 | added p50 | direct p95 | through the node p95 | added p95 | tokens relayed/s | node's CPU per token (us) | node's memory per open stream (KiB) | failures |
|---|---|---|---|---|---|---|---|---|---|---|---|"""
TABLE = [
    {"service": "streams", "tenant": TENANT, "back_end": "model", "model": "base",
     "deadline_ms": 60000, "max_wait_ms": 10000},
    {"service": "probe", "tenant": TENANT, "back_end": "model", "model": "probe",
     "deadline_ms": 10000, "max_wait_ms": 5000},
]


def main():
    build = pathlib.Path(sys.argv[1] if len(sys.argv) > 1 else "build").resolve()
    seconds = sys.argv[2] if len(sys.argv) > 2 else "20"
    flags = ["--token_interval_ms=30", "--batch_slots=64"]
    with cluster.Cluster(build, base_port=21000, zones=1, engines_per_zone=STREAM_ENGINES,
                         applications=1, engine_flags=flags, table=TABLE,
                         with_kvstore=False) as processes:
        probe_address = processes.address(200)
        probe = processes.standin(
            "engine", "engine-probe", probe_address, processes.zones[0],
            [f"--platform={processes.address(0)}", "--model=probe"])
        processes.engines.append(probe)
        probe.wait_ready()
        node = processes.nodes[0]
        key = cluster.tenant_key(TENANT)
        print(HEADER, flush=True)
        for streams in (0, 150, 300):
            # A new process each time, so that its memory shows this run's streams only.
            node.stop()
            node.start()
            cluster.wait_until(
                lambda: answers(node, key, "probe") and answers(node, key, "streams"),
                "an answer of each service")
            result = subprocess.run(
                [build / "fernmoor-bench", "http", f"--node={node.url[len('http://'):]}",
                 f"--key={key}", "--stream_service=streams", "--probe_service=probe",
                 f"--probe_engine={probe_address}", "--probe_model=probe",
                 f"--streams={streams}", f"--node_pid={node.handle.pid}",
                 f"--http_seconds={seconds}"], check=False)
            if result.returncode != 0:
                return result.returncode
    return 0


def answers(node, key, service):
    status, _, _ = cluster.call("POST", node.url + "/v1/completions",
                                {"model": service, "prompt": "x", "max_tokens": 1}, key)
    return status == 200


if __name__ == "__main__":
    sys.exit(main())
