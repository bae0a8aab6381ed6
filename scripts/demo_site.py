"""Runs `mulberry-site` against a simulated store and simulated engines.

With two instances: a stream, a job whose instance is killed, and a planned
stop during a stream. The exit status is 0 if all checks pass.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
from pathlib import Path
import signal
import subprocess
import sys
import tempfile
import threading
import time

BIN = Path(sys.executable).parent
NETWORK_PREFIX = "127.0.40"
STORE = f"{NETWORK_PREFIX}.9:8169"
ENGINES = f"{NETWORK_PREFIX}.11:8080,{NETWORK_PREFIX}.12:8080"
ONLINE, BATCH = "dock.example", "clerk.example"
TIMEOUT_S = 30.0
ITEMS = 24


def route(name, host, **fields):
    return {
        "Name": name,
        "Host": host,
        "Prefix": f"/{name}/",
        "RouteType": "streaming",
        "Service": "generation",
        "TimeoutMs": 8_000,
        "TargetLatencyMs": 2_000,
        "MaxAttempts": 2,
    } | fields


DESIRED = {
    "Version": 1,
    "Routes": [
        route("lookup", ONLINE),
        route("crates", BATCH, RouteType="batch", Cap=100_000),
    ],
    "Services": [{"Name": "generation", "Engine": {"Stride": 1}}],
}


def site_settings(number):
    address = f"{NETWORK_PREFIX}.{number}"
    return f"""
NodeName = "frontend-{number}"
Ip = "{address}"
Zone = "a"
InternalPorts = [7720, 7735]
[Listen]
Front = "{address}:8161"
Ready = "{address}:8167"
Directory = "{address}:8164"
[Bounds]
GraceS = 6
[Platform]
Address = "{STORE}"
"""


def call(number, method, path, host, request_id="", body=None, port=8161):
    conn = http.client.HTTPConnection(
        f"{NETWORK_PREFIX}.{number}", port, timeout=15
    )
    headers = {"Host": host}
    if request_id:
        headers["X-Mulberrypass-Request-Id"] = request_id
    try:
        conn.request(method, path, body, headers)
        resp = conn.getresponse()
        return resp.status, resp.read()
    finally:
        conn.close()


def wait_until(what, condition):
    end = time.monotonic() + TIMEOUT_S
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.1)
    sys.exit(f"FAILED: {what}")


def report_kept(what):
    print(f"kept: {what}", flush=True)


class Demo:
    def __init__(self, folder):
        self.folder = Path(folder)
        self.processes = []

    def start(self, name, *command, **env):
        log = open(self.folder / f"{name}.log", "w")
        process = subprocess.Popen(
            [str(word) for word in command],
            stdout=log,
            stderr=log,
            env=os.environ | env,
        )
        self.processes.append(process)
        return process

    def start_site(self, number):
        path = self.folder / f"site-{number}.toml"
        path.write_text(site_settings(number))
        return self.start(
            f"site-{number}",
            BIN / "mulberry-site",
            MULBERRYPASS_SETTINGS=str(path),
        )

    def run(self):
        config = self.folder / "desired.json"
        config.write_text(json.dumps(DESIRED))
        self.start(
            "platform",
            BIN / "mulberry-fake-site",
            f"--store={STORE}",
            f"--engines={ENGINES}",
            f"--config={config}",
        )
        sites = {number: self.start_site(number) for number in (1, 2)}
        query = "/resolve?Name=x&Region=r&Zone=a"
        for number in sites:
            wait_until(
                f"instance {number} is ready",
                lambda n=number: (
                    call(n, "GET", "/readyz", "", port=8167)[0] == 200
                    and len(
                        json.loads(call(n, "GET", query, "", port=8164)[1])[
                            "Addresses"
                        ]
                    )
                    == 2
                ),
            )
        report_kept("both instances are ready and list each other's address")
        status, body = call(1, "POST", "/lookup/1", ONLINE, "s1", b"q")
        assert status == 200 and body.count(b"data:") == 20, (status, body)
        report_kept("a stream was complete")
        self.check_job(sites)
        self.check_planned_stop(sites)

    def check_job(self, sites):
        item = {
            "Path": "/crates/1",
            "Headers": {},
            "Body": base64.b64encode(b"x").decode(),
            "Tokens": 100,
        }
        items = [item | {"Id": f"item-{n}"} for n in range(ITEMS)]
        body = json.dumps({"Items": items}).encode()
        status, _ = call(1, "POST", "/crates/a", BATCH, "lot-1", body)
        assert status == 202, status
        sites[1].send_signal(signal.SIGKILL)
        report_kept(
            f"a job of {ITEMS} items was accepted; its instance is killed"
        )

        def done():
            status, body = call(2, "GET", "/lots/lot-1?After=0", BATCH)
            page = json.loads(body)
            return status == 200 and len(page["Results"]) == ITEMS

        wait_until("the job is taken over and completes", done)
        _, body = call(2, "GET", "/lots/lot-1?After=0", BATCH)
        results = json.loads(body)["Results"]
        assert len({r["Id"] for r in results}) == ITEMS
        assert all(r["State"] == "completed" for r in results)
        report_kept(
            "the other instance completed every item, with one result each"
        )

    def check_planned_stop(self, sites):
        answers = []
        stream = threading.Thread(
            target=lambda: answers.append(
                call(2, "POST", "/lookup/2", ONLINE, "s2", b"q")
            )
        )
        stream.start()
        time.sleep(0.15)
        sites[2].send_signal(signal.SIGTERM)
        stream.join()
        assert answers[0][0] == 200 and answers[0][1].count(b"data:") == 20, (
            answers
        )
        assert sites[2].wait(TIMEOUT_S) == 0
        report_kept("a planned stop interrupted no request")

    def kill_processes(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()


def main():
    with tempfile.TemporaryDirectory() as folder:
        demo = Demo(folder)
        try:
            demo.run()
        finally:
            demo.kill_processes()


if __name__ == "__main__":
    main()
