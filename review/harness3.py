"""Starts the system and its stand-ins as processes, and ends them again."""

from __future__ import annotations

import atexit
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
import sys
import tempfile
import time

ROOT = Path(__file__).resolve().parents[1]
HERE = Path(__file__).resolve().parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run."""


def free_net(case):
    """Return the first three numbers of addresses that nobody uses."""
    for _ in range(50):
        net = f"127.{random.randint(60, 250)}.{case}"
        try:
            for host, port in ((1, 8161), (100, 8169), (101, 9000)):
                with socket.create_server((f"{net}.{host}", port)):
                    pass
        except OSError:
            continue
        return net
    raise CannotRunError("no free addresses")


class Site:
    """A small deployment on addresses of its own in 127.0.0.0/8.

    :param case: number of the case
    """

    def __init__(self, case, instances=3, grace_s=8):
        self.net = free_net(case)
        self.store = f"{self.net}.100:8169"
        self.admin = f"{self.net}.100:8170"
        self.dir = Path(tempfile.mkdtemp(prefix=f"review3-{case}-"))
        self.engine_log = self.dir / "engines.jsonl"
        self.engine_log.touch()
        self.record = open(
            ROOT / "review" / str(case) / "record.txt", "w", buffering=1)
        self.procs = {}
        self.began = time.time()
        self.instances = instances
        self.grace_s = grace_s
        atexit.register(self.end)
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, lambda *_: sys.exit(NOT_RUN))

    def note(self, text):
        self.record.write(f"{time.time() - self.began:8.3f}  {text}\n")

    def start(self, name, argv, env=None):
        full = {k: os.environ[k] for k in ("PATH", "HOME", "LANG")
                if k in os.environ}
        full["PYTHONPATH"] = f"{ROOT / 'target/deps'}:{ROOT / 'src'}"
        full.update(env or {})
        out = open(self.dir / f"{name}.log", "ab")
        self.procs[name] = subprocess.Popen(
            argv, cwd=ROOT, env=full, stdin=subprocess.DEVNULL,
            stdout=out, stderr=out)
        self.note(f"started {name}")
        return self.procs[name]

    def start_store(self, config):
        self.start("store", [sys.executable, "-S", str(HERE / "store3.py"),
                             self.store, self.admin])
        self.wait_for(lambda: self.put("op/config", config), 10,
                      "the store stand-in")

    def put(self, path, doc):
        host, _, port = self.admin.rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=3)
        try:
            conn.request("PUT", f"/{path}", json.dumps(doc).encode())
            return conn.getresponse().status == 200
        except OSError:
            return False
        finally:
            conn.close()

    def start_engine(self, name, number, **options):
        address = f"{self.net}.{100 + number}:9000"
        pairs = [f"{key}={value}" for key, value in options.items()]
        self.start(name, [sys.executable, "-S", str(HERE / "engine3.py"),
                          name, address, self.admin, str(self.engine_log),
                          *pairs])

    def start_instance(self, number):
        """Start a process of the system as the deploy file does."""
        ip = f"{self.net}.{number}"
        text = f'''NodeName = "frontend-{number}"
Role = "site"
MachineClass = "frontend"
Serves = ["frontend", "registry"]
Ip = "{ip}"
Zone = "zone-{number}"
Region = "region-1"
InternalPorts = [7720, 7735]
Bootstrap = true
Discovery = "platform"
HeartbeatMs = 1200
[Listen]
Front = "{ip}:8161"
Ready = "{ip}:8167"
Directory = "{ip}:8164"
[Limits]
MemoryMb = 350
MaxFds = 8200
[Bounds]
ContactMs = 3000
DrainMs = 2000
GraceS = {self.grace_s}
ConfigApplyMs = 2000
CancelMs = 3000
ttl_max_s = 5
[Platform]
Address = "{self.store}"
form = "table"
'''
        path = self.dir / f"i{number}.toml"
        path.write_text(text)
        self.start(f"i{number}", ["python3", "-S", "deploy/serve.py"],
                   {"MULBERRYPASS_SETTINGS": str(path),
                    "MULBERRYPASS_REPEAT_SHARE": "0.05"})

    def start_instances(self):
        for number in range(1, self.instances + 1):
            self.start_instance(number)
        for number in range(1, self.instances + 1):
            self.wait_for(lambda n=number: self.is_ready(n), 30,
                          f"instance {number}")
        # The users' traffic starts 12 s after the machines.
        time.sleep(4)

    def is_ready(self, number):
        try:
            return self.call(number, "GET", "/readyz", port=8167)[0] == 200
        except OSError:
            return False

    def call(self, number, method, path, headers=None, body=None, port=8161,
             timeout=8):
        conn = http.client.HTTPConnection(
            f"{self.net}.{number}", port, timeout=timeout)
        try:
            conn.request(method, path, body, headers or {})
            resp = conn.getresponse()
            return resp.status, resp.read()
        except http.client.HTTPException as exc:
            raise ConnectionError(repr(exc))
        finally:
            conn.close()

    def submit(self, number, host, path, job, items):
        """Submit a job.

        :param items: id, prompt prefix, prompt tokens and output tokens
        """
        doc = {"Items": [{
            "Id": item,
            "Path": f"{path}{item}",
            "Headers": {
                "X-Mulberrypass-Model": "m",
                "X-Mulberrypass-Token-Counts": f"{tokens},{out}",
                "X-Mulberrypass-Prompt-Prefix": prefix},
            "Body": base64.b64encode(item.encode()).decode(),
            "Tokens": tokens + out,
        } for item, prefix, tokens, out in items]}
        try:
            status, _ = self.call(
                number, "POST", path + job,
                {"Host": host, "X-Mulberrypass-Request-Id": job,
                 "Content-Type": "application/json"},
                json.dumps(doc).encode())
        except OSError as exc:
            status = repr(exc)
        self.note(f"job {job} with {len(items)} items sent to instance "
                  f"{number}: {status}")
        return status

    def results(self, number, host, job):
        """Return total and results of a job; ``None`` if they can't be read."""
        try:
            status, body = self.call(
                number, "GET", f"/lots/{job}?After=0", {"Host": host})
        except OSError:
            return None
        if status != 200:
            return None
        doc = json.loads(body)
        return doc["Total"], doc["Results"]

    def kill(self, name):
        proc = self.procs.pop(name)
        proc.kill()
        proc.wait()
        self.note(f"killed {name}")

    def drain(self, name):
        """Let an engine leave; it ends by itself."""
        self.procs[name].send_signal(signal.SIGUSR1)
        self.note(f"{name} leaves")

    def stop_instance(self, number):
        """Stop a process of the system as the platform does; wait for it."""
        name = f"i{number}"
        proc = self.procs.pop(name)
        proc.terminate()
        self.note(f"SIGTERM to {name}")
        try:
            proc.wait(self.grace_s)
        except subprocess.TimeoutExpired:
            proc.kill()
            proc.wait()
        self.note(f"{name} has ended")

    def engine_events(self):
        return [json.loads(line)
                for line in self.engine_log.read_text().splitlines()]

    def wait_for(self, check, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if check():
                return
            time.sleep(0.1)
        raise CannotRunError(f"{what} did not come up")

    def end(self):
        for proc in self.procs.values():
            proc.kill()
        for proc in self.procs.values():
            proc.wait()
        self.procs = {}
        keep = os.environ.get("REVIEW_KEEP")
        if not keep:
            shutil.rmtree(self.dir, ignore_errors=True)


def run(make_site, case):
    """Run a case; exit with its result."""
    try:
        site = make_site()
        broken = case(site)
    except Exception as exc:
        sys.stderr.write(f"the case could not run: {exc!r}\n")
        sys.exit(NOT_RUN)
    site.note("rule broken" if broken else "rule held")
    sys.stdout.write("rule broken\n" if broken else "rule held\n")
    sys.exit(BROKEN if broken else HELD)
