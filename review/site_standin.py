"""A small deployment on loopback addresses, and what a platform does for it.

Instances run with the command of the deploy file as separate processes.
"""

import base64
import http.client
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib

from engine_standin import Engine, encode
from store_standin import Store

ROOT = Path(__file__).resolve().parents[1]
BATCH_HOST = "clerk.example"
ONLINE_HOST = "dock.example"
SERVICE = "rackmind"
# The ports of an instance; each has an address of its own.
FRONT, READY, DIRECTORY, CONTROL, PEER, METRICS = (
    8161, 8167, 8164, 8166, 7720, 9464
)  # fmt: skip


def drop_none(doc):
    return {name: value for name, value in doc.items() if value is not None}


class Site:
    """A store, engines and instances.

    :param instances: number of instances, one in each zone
    :param engines: number of engines of each service, or of each by name
    :param memory_mb: the limit of the settings
    """

    def __init__(
        self,
        folder,
        instances=3,
        engines=2,
        memory_mb=350,
        services=(SERVICE,),
        **given,
    ):
        self.folder = Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.time()
        self.record = open(self.folder / "record.txt", "w")
        self.lock = threading.Lock()
        self.net = self._free_net()
        self.tmp = Path(tempfile.mkdtemp(prefix="mulberry-review-"))
        self.memory_mb = memory_mb
        self.count = instances
        self.processes = {}
        self.ends = {}  # instance -> times at which it was ended
        self.store = Store()
        self.store_address = f"127.{self.net}.100:8169"
        self.store.serve(f"127.{self.net}.100", 8169)
        counts = engines if isinstance(engines, dict) else {}
        named = [
            name
            for name in services
            for _ in range(counts.get(name, engines) if counts else engines)
        ]
        self.engines = [
            Engine(f"i-{n}", f"127.{self.net}.{110 + n}", 9000, name, **given)
            for n, name in enumerate(named, 1)
        ]
        for engine in self.engines:
            engine.start()
            engine.register(self.store)
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            deploy = tomllib.load(file)
        (role,) = deploy["roles"].values()
        self.command = role["run"].split()
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, lambda *_args: self.finish(2))
        self.note(f"trouble {'on' if self.trouble else 'off'}")

    def _free_net(self):
        """Return the middle of a loopback range whose ports are free."""
        for _ in range(200):
            net = f"{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for port in (FRONT, READY, DIRECTORY, PEER, METRICS, 8169):
                    for last in (1, 2, 3, 100):
                        with socket.socket() as sock:
                            sock.bind((f"127.{net}.{last}", port))
                return net
            except OSError:
                continue
        raise SystemExit(2)

    def note(self, text):
        """Write a line of the record."""
        with self.lock:
            at = time.time() - self.started
            self.record.write(f"{at:8.3f} {text}\n")
            self.record.flush()
        print(f"{at:8.3f} {text}", flush=True)

    def configure(self, version=1, more=(), services=(SERVICE,), **batch):
        """Write a desired state, as the operator does.

        :param more: routes beside the usual three, without common fields
        """
        route = {
            "Service": SERVICE,
            "TimeoutMs": 5000,
            "TargetLatencyMs": 300,
            "Priority": 0,
            "MaxAttempts": 2,
        }
        lookup = {
            "Name": "lookup",
            "Host": ONLINE_HOST,
            "Prefix": "/lookup/",
            "RouteType": "streaming",
            "Resumable": False,
        }
        slip = {
            "Name": "slip",
            "Host": ONLINE_HOST,
            "Prefix": "/slip/",
            "RouteType": "streaming",
            "Resumable": True,
        }
        crates = {
            "Name": "crates",
            "Host": BATCH_HOST,
            "Prefix": "/crates/",
            "RouteType": "batch",
            "TimeoutMs": 15000,
            "TargetLatencyMs": 400,
            "Priority": 2,
            "MaxAttempts": 3,
            "Cap": 2100000,
            "TargetCompletionMs": 18000,
            "RetentionS": 60,
        }
        doc = {
            "Version": version,
            "Routes": [
                route | lookup,
                route | slip,
                drop_none(route | crates | batch),
                *(route | each for each in more),
            ],
            "Services": [
                {
                    "Name": name,
                    "HealthPath": "/healthz",
                    "MaxConns": 290,
                    "Engine": {
                        "Slots": 8,
                        "KvCapacityTokens": 128539,
                        "Stride": 6,
                    },
                }
                for name in services
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
        }
        self.store.put("op", "config", encode(doc))

    def address(self, number):
        return f"127.{self.net}.{number}"

    def start(self, number):
        """Start the process of an instance."""
        at = self.address(number)
        settings = self.tmp / f"i{number}.toml"
        settings.write_text(
            f"""NodeName = "i{number}"
Role = "site"
MachineClass = "frontend"
Serves = ["frontend","registry"]
Ip = "{at}"
Zone = "zone-{number}"
Region = "great-lakes"
InternalPorts = [{PEER},{PEER + 15}]
Seeds = []
Bootstrap = {"true" if number not in self.processes else "false"}
HeartbeatMs = 1200
[Listen]
Front = "{at}:{FRONT}"
Ready = "{at}:{READY}"
Directory = "{at}:{DIRECTORY}"
[Limits]
CpuShare = 0.717
Cores = 3
MemoryMb = {self.memory_mb}
MaxFds = 8200
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 8
ConfigApplyMs = 2000
CancelMs = 3000
SettleMs = 1000
ttl_max_s = 5
[Platform]
Address = "{self.store_address}"
form = "table"
"""
        )
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["MULBERRYPASS_SETTINGS"] = str(settings)
        with open(self.tmp / f"i{number}.log", "ab") as log:
            self.processes[number] = subprocess.Popen(
                self.command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def kill(self, number, signum=signal.SIGKILL):
        """Send a signal to the process of an instance."""
        process = self.processes[number]
        process.send_signal(signum)
        if signum == signal.SIGKILL:
            process.wait()

    def is_ready(self, number):
        """Ask as the platform does."""
        try:
            conn = http.client.HTTPConnection(
                self.address(number), READY, timeout=1
            )
            conn.request("GET", "/readyz")
            return conn.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, timeout_s=30):
        """Wait until all instances are ready; exits with 2 otherwise."""
        until = time.time() + timeout_s
        while not all(self.is_ready(n) for n in self.processes):
            if time.time() > until:
                self.note("instances were not ready: the case couldn't run")
                self.finish(2)
            time.sleep(0.1)

    def rss(self, number):
        """Return the resident bytes of an instance, 0 if it has ended."""
        try:
            with open(f"/proc/{self.processes[number].pid}/status") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    def call(self, number, method, path, headers, body=None, timeout=4.0):
        """Make a call on a new channel; return status and body, or None."""
        conn = http.client.HTTPConnection(
            self.address(number), FRONT, timeout=timeout
        )
        try:
            conn.request(method, path, body, headers)
            answer = conn.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            conn.close()

    def submit(
        self,
        number,
        job,
        items,
        tokens=1600,
        size=100,
        timeout=4.0,
        path="/crates/1",
    ):
        """Hand in a job; return the status, or None without an answer."""
        body = json.dumps(
            {
                "Items": [
                    {
                        "Id": item,
                        "Path": path,
                        "Headers": {
                            "X-Mulberrypass-Model": "m",
                            "X-Mulberrypass-Token-Counts": "350,1250",
                        },
                        "Body": base64.b64encode(b"x" * size).decode(),
                        "Tokens": tokens,
                    }
                    for item in items
                ]
            }
        ).encode()
        headers = {
            "Host": BATCH_HOST,
            "X-Mulberrypass-Request-Id": job,
            "Content-Type": "application/json",
        }
        answer = self.call(number, "POST", path, headers, body, timeout)
        return None if answer is None else answer[0]

    def results(self, number, job, after=0):
        """Read results; return the document, the status or None."""
        answer = self.call(
            number, "GET", f"/lots/{job}?After={after}", {"Host": BATCH_HOST}
        )
        if answer is None or answer[0] != 200:
            return None if answer is None else answer[0]
        return json.loads(answer[1])

    def finish(self, code):
        """End all processes that were started, and exit."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.note(f"exit {code}")
        self.record.close()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.tmp, ignore_errors=True)
        os._exit(code)
