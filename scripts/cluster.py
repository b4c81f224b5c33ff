"""Starts a small deployment on loopback addresses: the stand-ins and one router in each zone.

Used by `make demo`, `make run` and the tests in test/process. Every process that is started here is
ended here, by its own pid.
"""
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATOR_KEY = "operator-demo-key"
CLUSTER_KEY = "demo cluster key, not a secret"
START_TIMEOUT_SECONDS = 20
STOP_TIMEOUT_SECONDS = 30
REGION = "region1"


def tenant_key(tenant):
    return f"key-of-{tenant}"


def call(method, url, body=None, key=None, timeout=10, headers=None):
    """Makes one HTTP call; returns (status, headers, text). Raises OSError where nothing answers."""
    request = urllib.request.Request(url, method=method)
    if body is not None:
        request.data = body.encode() if isinstance(body, str) else json.dumps(body).encode()
        request.add_header("Content-Type", "application/json")
    if key is not None:
        request.add_header("Authorization", f"Bearer {key}")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, dict(response.headers), response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


def wait_until(condition, what, timeout=START_TIMEOUT_SECONDS):
    """Waits for an event; fails loudly where it does not come."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise TimeoutError(f"{what} did not happen within {timeout} s")


class Process:
    """One started program; `address` is known once it listens."""

    def __init__(self, name, command, log_path):
        self.name = name
        self.command = [str(part) for part in command]
        self.log_path = log_path
        self.handle = None
        self.start()

    def start(self):
        with open(self.log_path, "ab") as log:
            self.handle = subprocess.Popen(
                self.command, stdout=log, stderr=log,
                preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_SETMASK, set()))

    def signal(self, number):
        self.handle.send_signal(number)

    def kill(self):
        self.handle.kill()
        self.handle.wait()

    def stop(self):
        if self.handle.poll() is None:
            self.handle.send_signal(signal.SIGCONT)
            self.handle.terminate()
            try:
                self.handle.wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                self.kill()

    def log_text(self):
        return pathlib.Path(self.log_path).read_text(errors="replace")


class StandIn(Process):
    """A stand-in, which prints its address as its first line."""

    def __init__(self, name, command, log_path, address):
        super().__init__(name, command, log_path)
        self.url = f"http://{address}"

    def wait_ready(self):
        wait_until(lambda: "listening on" in self.log_text(), f"{self.name} listening")

    def record(self):
        return json.loads(call("GET", self.url + "/record")[2])

    def fault(self, **fault):
        return call("POST", self.url + "/fault", fault)


class Router(Process):
    """One fernmoord."""

    def __init__(self, name, command, log_path, node_id, zone, http, peer):
        super().__init__(name, command, log_path)
        self.node_id = node_id
        self.zone = zone
        self.url = f"http://{http}"
        self.peer = peer

    def wait_ready(self):
        wait_until(lambda: call("GET", self.url + "/readyz")[0] == 200, f"{self.name} ready")


class Cluster:
    """All processes of one deployment; a context manager that ends them."""

    def __init__(self, build, base_port=18000, zones=3, engines_per_zone=4, applications=3,
                 nodes_per_zone=1, engine_flags=(), node_flags=(), table=None,
                 with_kvstore=True):
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fernmoor-"))
        self.base_port = base_port
        self.zones = [f"zone{index + 1}" for index in range(zones)]
        self.engines_per_zone = engines_per_zone
        self.application_count = applications
        self.nodes_per_zone = nodes_per_zone
        self.engine_flags = list(engine_flags)
        self.node_flags = list(node_flags)
        self.table = table if table is not None else json.loads(
            (ROOT / "examples" / "demo" / "table.json").read_text())
        self.tenants = sorted({row["tenant"] for row in self.table})
        self.with_kvstore = with_kvstore
        self.platform = None
        self.kvstore = None
        self.engines = []
        self.applications = []
        self.nodes = []

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *unused):
        self.stop()

    def address(self, offset, zone_index=0):
        """Each zone has a loopback address of its own."""
        return f"127.0.0.{zone_index + 1}:{self.base_port + offset}"

    def standin(self, kind, name, address, zone, flags=()):
        command = [self.build / "fernmoor-standin", kind, f"--listen={address}", f"--id={name}",
                   f"--zone={zone}", f"--region={REGION}", *flags]
        return StandIn(name, command, self.folder / f"{name}.log", address)

    def start(self):
        platform_address = self.address(0)
        self.platform = self.standin("platform", "platform", platform_address, self.zones[0])
        self.platform.wait_ready()
        register = [f"--platform={platform_address}"]
        self.kvstore = None if not self.with_kvstore else self.standin("kvstore", "kvstore1", self.address(1), self.zones[0], register)
        for index in range(self.engines_per_zone * len(self.zones)):
            zone_index = index % len(self.zones)
            self.engines.append(self.standin(
                "engine", f"engine{index + 1}", self.address(100 + index, zone_index),
                self.zones[zone_index], [*register, "--model=base", *self.engine_flags]))
        for index in range(self.application_count):
            zone_index = index % len(self.zones)
            self.applications.append(self.standin(
                "appengine", f"application{index + 1}", self.address(50 + index, zone_index),
                self.zones[zone_index], register))
        for process in self.processes()[:-1]:
            process.wait_ready()
        self.load_table()
        for index in range(self.nodes_per_zone * len(self.zones)):
            self.nodes.append(self.start_node(index))
        for node in self.nodes:
            node.wait_ready()

    def load_table(self):
        changes = [{"name": f"{row['service']}:{row['tenant']}", "expected_version": 0, "value": row}
                   for row in self.table]
        status, _, text = call("POST", self.platform.url + "/objects/table",
                               {"change_id": "example", "expected_revision": None,
                                "changes": changes})
        if status != 200:
            raise RuntimeError(f"the table was refused: {text}")

    def node_addresses(self, index):
        zone_index = index % len(self.zones)
        return self.address(10 + index, zone_index), self.address(30 + index, zone_index)

    def settings_text(self, index):
        http, peer = self.node_addresses(index)
        seeds = [f"{other + 1}@{self.node_addresses(other)[1]}"
                 for other in range(self.nodes_per_zone * len(self.zones)) if other != index]
        lines = [f"node_id = {index + 1}", f'zone = "{self.zones[index % len(self.zones)]}"',
                 f'region = "{REGION}"', f'http_address = "{http}"', f'peer_address = "{peer}"',
                 f'cluster_key = "{CLUSTER_KEY}"', f"seeds = {json.dumps(seeds)}",
                 f'platform_url = "{self.platform.url}"',
                 f'operator_keys = ["{OPERATOR_KEY}"]', "tenant_keys = ["]
        lines += [f'  {{key = "{tenant_key(tenant)}", tenant = "{tenant}"}},'
                  for tenant in self.tenants]
        return "\n".join(lines + ["]", ""])

    def start_node(self, index):
        path = self.folder / f"node{index + 1}.toml"
        path.write_text(self.settings_text(index))
        http, peer = self.node_addresses(index)
        command = [self.build / "fernmoord", f"--settings={path}", *self.node_flags]
        return Router(f"node{index + 1}", command, self.folder / f"node{index + 1}.log", index + 1,
                      self.zones[index % len(self.zones)], http, peer)

    def processes(self):
        started = [*self.nodes, *self.engines, *self.applications, self.kvstore, self.platform]
        return [process for process in started if process is not None]

    def stop(self):
        # All are told first, so that stopping takes as long as the slowest, not as all together.
        for process in self.processes():
            if process.handle.poll() is None:
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGTERM if process in self.nodes else signal.SIGKILL)
        for process in self.processes():
            process.stop()


def wait_for_claim_group(cluster):
    """Waits until the nodes keep claims: the group is stored and a first claim is granted."""
    url = cluster.platform.url + "/objects/control/claim-group"
    wait_until(lambda: call("GET", url)[0] == 200, "the claim group")
    service = next((row for row in cluster.table if not row.get("repeatable", True)), None)
    if service is None:
        return

    def granted(node):
        status, _, _ = call("POST", f"{node.url}/v1/applications/{service['service']}",
                            {"warm": node.name}, key=tenant_key(service["tenant"]),
                            headers={"Idempotency-Key": f"{int(time.time())}-{os.urandom(8).hex()}"})
        return status == 200

    for node in cluster.nodes:
        wait_until(lambda: granted(node), f"a claim through {node.name}")


if __name__ == "__main__":
    os.sys.exit("import this module; see scripts/run.sh and scripts/demo.sh")
