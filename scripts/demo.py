"""Starts a small deployment, sends every kind of request through each node, kills an engine in
mid-stream, and prints for each request the check of its answer. Exit code 0 only if all are right."""
import json
import pathlib
import subprocess
import sys
import time
import uuid

import cluster

RULES = "river rules: gauge above danger mark means move to high ground. "
SPENDING = "spending rules: meals need receipts above the daily limit. "
STREAM_LENGTH = 120
KILL_AFTER_SECONDS = 1.0


class Demo:
    def __init__(self, deployment, build):
        self.deployment = deployment
        self.build = build
        self.wrong = 0

    def model_command(self, node, tenant, service, prompt, tail, tokens=16, stream=True):
        return [str(self.build / "fernmoor-demo"), f"--node={node.url[len('http://'):]}",
                f"--key={cluster.tenant_key(tenant)}", f"--service={service}",
                f"--prompt={prompt}", "--prompt_repeats=40", f"--prompt_tail={tail}",
                f"--max_tokens={tokens}", f"--stream={'true' if stream else 'false'}"]

    def report(self, what, node, right, detail):
        self.wrong += 0 if right else 1
        print(f"{node.name:6} {what:28} {detail.strip()}", flush=True)

    def ask_model(self, what, node, *arguments, **options):
        result = subprocess.run(self.model_command(node, *arguments, **options),
                                capture_output=True, text=True)
        self.report(what, node, result.returncode == 0, result.stdout + result.stderr)

    def ask_application(self, what, node, tenant, service, body, key=None, expect_replay=False):
        headers = {} if key is None else {"Idempotency-Key": key}
        start = time.monotonic()
        status, answer_headers, text = cluster.call(
            "POST", f"{node.url}/v1/applications/{service}", body,
            key=cluster.tenant_key(tenant), headers=headers)
        replayed = answer_headers.get("X-Fernmoor-Replayed") == "true"
        right = status == 200 and "receipt" in json.loads(text) and replayed == expect_replay
        self.report(what, node, right,
                    f"{'right' if right else 'WRONG'} engine="
                    f"{answer_headers.get('X-Fernmoor-Engine', '-'):13} replayed={replayed} "
                    f"total_ms={(time.monotonic() - start) * 1000:.1f}"
                    f"{'' if right else ' ' + text}")
        return text

    def not_repeatable(self, index):
        """The same receipt through two nodes must run once and give one answer."""
        nodes = self.deployment.nodes
        key = f"{int(time.time())}-{uuid.uuid4()}"
        body = {"ward": index, "siren": "village alert", "nonce": str(uuid.uuid4())}
        first = self.ask_application("receipt", nodes[index], "ward-apps", "alert-receipts", body,
                                     key)
        other = nodes[(index + 1) % len(nodes)]
        again = self.ask_application("receipt sent again", other, "ward-apps", "alert-receipts",
                                     body, key, expect_replay=True)
        if first != again:
            self.report("same receipt", other, False, "WRONG two different answers")
        runs = [run for standin in self.deployment.applications
                for run in standin.record()["runs"] if run["key"] == key]
        self.report("runs of that receipt", other, len(runs) == 1, f"{len(runs)} run(s)")

    def kill_in_mid_stream(self):
        """The engine that serves a stream dies; the caller must not notice."""
        node = self.deployment.nodes[0]
        command = self.model_command(node, "pamba", "village-alerts", RULES, "which ghat?",
                                     tokens=STREAM_LENGTH)
        caller = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        time.sleep(KILL_AFTER_SECONDS)
        serving = [engine for engine in self.deployment.engines
                   if any(not run["ended"] for run in engine.record()["runs"])]
        for engine in serving[:1]:
            engine.kill()
        output, _ = caller.communicate()
        killed = serving[0].name if serving else "none"
        self.report("engine killed in mid-stream", node, caller.returncode == 0 and bool(serving),
                    f"{output.strip()} killed={killed}")

    def run(self):
        for index, node in enumerate(self.deployment.nodes):
            self.ask_model("alert, streamed", node, "pamba", "village-alerts", RULES, "water rises")
            self.ask_model("alert, plain", node, "pamba", "village-alerts", RULES, "water rises",
                           stream=False)
            self.ask_model("summary, deferred", node, "kuttanad", "bulletin-summaries", RULES,
                           f"bulletin {index}")
            self.ask_model("audit, deferred", node, "north-office", "audit-check", SPENDING,
                           "claim 7")
            self.ask_application("ward status", node, "ward-apps", "ward-status", {"ward": index})
            self.not_repeatable(index)
        self.kill_in_mid_stream()


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    with cluster.Cluster(build) as deployment:
        # Answers without a claim group are refused, so the demo waits for it as operators would.
        cluster.wait_for_claim_group(deployment)
        demo = Demo(deployment, build)
        demo.run()
    print(f"{demo.wrong} wrong" if demo.wrong else "every answer was whole and its own")
    sys.exit(1 if demo.wrong else 0)


if __name__ == "__main__":
    main()
