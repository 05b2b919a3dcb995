"""Starts the nodes of a small deployment with the command of the deploy file, for the cases from 6 on.

The store and the runners are the project's own stand-ins in platform/tests."""
import asyncio
import json
import os
import pathlib
import random
import socket
import sys
import time
import tomllib

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform" / "tests"))
import node_fleet  # noqa: E402

FINISH_S, CONTACT_S = 18, 3
RUN = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]["run"].split(" ")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def is_free(kind, port):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind(("", port))
            return True
        except OSError:
            return False


def choose_ports():
    for _ in range(200):
        base = random.randrange(20000, 30000)
        ports = [base, base + 1, base + 2, base + 3, base + 4]
        if all(is_free(kind, port) for port in ports for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
            node_fleet.PORTS.update(front=base, ready=base + 1, control=base + 2, internal=base + 3)
            return
    sys.exit(2)


class Record:
    """The file with what was sent, answered and run; times are seconds from its start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")


class DeployFleet(node_fleet.Fleet):
    """Nodes whose settings have the fields that the users' platform writes."""

    def __init__(self, names, record):
        choose_ports()
        super().__init__(str(ROOT / RUN[0]), nodes=0, endpoints=0, network=random.randrange(1, 250))
        self.block = random.randrange(100, 250)
        self.names = list(names)
        self.machines = {}  # name -> number of its address
        self.zones = {}     # name -> zone, where there are several
        self.record = record

    async def __aenter__(self):
        try:
            return await super().__aenter__()
        except BaseException:  # `async with` ends only what it has entered
            await self.__aexit__(None, None, None)
            raise

    def address(self, name):
        number = self.machines.setdefault(name, len(self.machines) + 1)
        return f"127.{self.block}.{self.network}.{number}"

    def write_settings(self, name):
        ip, ports = self.address(name), node_fleet.PORTS
        seeds = [f"{self.address(other)}:{ports['control']}" for other in self.names[:3]]
        bounds = {"seed-lag-s": 3, "addr-reuse-s": 2, "contact-ms": 1000 * CONTACT_S, "ack-ms": 4000,
                  "catch-up-s": 4.5, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
                  "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
                  "recovery-s": 12, "pass-ms": 120, "retry-after-s": 0, "finish-s": FINISH_S,
                  "status-s": 120, "cancel-ms": 3000, "settle-ms": 1000, "quota-overrun": 0.1}
        settings = {
            "node": name, "role": "node", "machine-class": "front", "serves": ["front", "control"],
            "ip": ip, "zone": self.zones.get(name, "z"), "region": "r",
            "zones": {zone: "r" for zone in set(self.zones.values()) or ["z"]},
            "listen": {key: f"{ip}:{ports[key]}" for key in ("front", "ready", "control")},
            "internal-ports": [ports["internal"], ports["internal"] + 15], "seeds": seeds,
            "first-start": False, "heartbeat-ms": 1200, "data-dir": None, "discovery": "platform",
            "limits": {"cpu-share": 0.5, "cores": 1, "memory-mb": 280, "max-fds": 8200,
                       "link-mbps": 1000.0, "disk-mb": 0}, "bounds": bounds,
            "platform": {"address": self.store_address(name), "form": "table", "writes-per-s": 800,
                         "reads-per-s": 2000, "tx-ms": 5.0, "part-writes-s": 200, "row-bytes": 65536,
                         "across": False, "history-s": 20, "blob-bytes": 8388608}}
        path = os.path.join(self.folder.name, name + ".json")
        pathlib.Path(path).write_text(json.dumps(settings), encoding="utf-8")
        return path

    async def start(self, name):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["LENTILHEAD_BOOT"] = self.write_settings(name)
        self.record.write(f"start {name}")
        with open(os.path.join(self.folder.name, name + ".log"), "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *RUN, cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def stop(self, name, kill=False):
        self.record.write(f"{'SIGKILL' if kill else 'SIGTERM'} {name}")
        process = self.processes[name]
        process.kill() if kill else process.terminate()

    async def stream(self, node, identity, headers, path="/stream/x"):
        """Sends a request for a stream; returns the status, 0 without a whole answer."""
        headers = {"X-Request-Id": identity, "X-Deadline-Ms": "5000", "X-Model": "m", **headers}
        try:
            status, _, _ = await self.call(node, "POST", path, b"", headers)
        except OSError:
            status = 0
        self.record.write(f"request {identity} at {node}: {status or 'no whole answer'}")
        return status

    async def send_job(self, node, job, body):
        status, _, _ = await self.call(node, "POST", "/batch/j", body, {"X-Request-Id": job})
        self.record.write(f"batch job {job} at {node}: {status}")
        return status

    async def listed(self, node, job):
        """All results of a job that the node lists."""
        results = []
        while True:
            status, _, body = await self.call(node, "GET", f"/lots/{job}?after={len(results)}")
            page = json.loads(body)["results"] if status == 200 else []
            results += page
            if not page:
                self.record.write(f"read {job} at {node}: {status}, {len(results)} listed")
                return results


def end(record, broken, text):
    verdict = ("BROKEN: " if broken else "held: ") + text
    record.write(verdict)
    print(verdict)
    return 1 if broken else 0


def run(main, folder):
    """Runs a case; exits with 2 if it could not be played."""
    record = Record(folder)
    try:
        code = asyncio.run(asyncio.wait_for(main(record), 115))
    except Exception as error:  # the stand-ins or the nodes did not come up
        record.write(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        code = 2
    sys.exit(code)
