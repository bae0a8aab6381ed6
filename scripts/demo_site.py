"""Shows `mulberry-site` on stand-ins of a site's store and engines.

Two instances; a stream, a job whose instance is killed, a planned stop in a
stream. Each step is checked; the exit status says whether all held.
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
NET = "127.0.40"
STORE = f"{NET}.9:8169"
ENGINES = f"{NET}.11:8080,{NET}.12:8080"
ONLINE, BATCH = "dock.example", "clerk.example"
PATIENCE_S = 30.0
ITEMS = 24


def route(name, host, **fields):
    return {
        "Name": name,
        "Host": host,
        "Prefix": f"/{name}/",
        "RouteType": "streaming",
        "Service": "rackmind",
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
    "Services": [{"Name": "rackmind", "Engine": {"Stride": 1}}],
}


def settings(number):
    at = f"{NET}.{number}"
    return f"""
NodeName = "frontend-{number}"
Ip = "{at}"
Zone = "a"
InternalPorts = [7720, 7735]
[Listen]
Front = "{at}:8161"
Ready = "{at}:8167"
Directory = "{at}:8164"
[Bounds]
GraceS = 6
[Platform]
Address = "{STORE}"
"""


def call(number, method, path, host, request_id="", body=None, port=8161):
    conn = http.client.HTTPConnection(f"{NET}.{number}", port, timeout=15)
    headers = {"Host": host}
    if request_id:
        headers["X-Mulberrypass-Request-Id"] = request_id
    try:
        conn.request(method, path, body, headers)
        resp = conn.getresponse()
        return resp.status, resp.read()
    finally:
        conn.close()


def until(what, holds):
    end = time.monotonic() + PATIENCE_S
    while time.monotonic() < end:
        try:
            if holds():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(0.1)
    sys.exit(f"FAILED: {what}")


def kept(what):
    print(f"kept: {what}", flush=True)


class Demo:
    def __init__(self, folder):
        self.folder = Path(folder)
        self.processes = []

    def start(self, name, *words, **env):
        log = open(self.folder / f"{name}.log", "w")
        process = subprocess.Popen(
            [str(word) for word in words],
            stdout=log,
            stderr=log,
            env=os.environ | env,
        )
        self.processes.append(process)
        return process

    def site(self, number):
        path = self.folder / f"site-{number}.toml"
        path.write_text(settings(number))
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
        sites = {number: self.site(number) for number in (1, 2)}
        query = "/resolve?Name=x&Region=r&Zone=a"
        for number in sites:
            until(
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
        kept("both instances are ready and name each other")
        status, body = call(1, "POST", "/lookup/1", ONLINE, "s1", b"q")
        assert status == 200 and body.count(b"data:") == 20, (status, body)
        kept("a stream came whole")
        self.job(sites)
        self.stop(sites)

    def job(self, sites):
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
        kept(f"a job of {ITEMS} items was accepted; its instance is killed")

        def done():
            status, body = call(2, "GET", "/lots/lot-1?After=0", BATCH)
            page = json.loads(body)
            return status == 200 and len(page["Results"]) == ITEMS

        until("the job is taken over and ends", done)
        _, body = call(2, "GET", "/lots/lot-1?After=0", BATCH)
        results = json.loads(body)["Results"]
        assert len({r["Id"] for r in results}) == ITEMS
        assert all(r["State"] == "completed" for r in results)
        kept("the other instance has run each item, each stands once")

    def stop(self, sites):
        got = []
        stream = threading.Thread(
            target=lambda: got.append(
                call(2, "POST", "/lookup/2", ONLINE, "s2", b"q")
            )
        )
        stream.start()
        time.sleep(0.15)
        sites[2].send_signal(signal.SIGTERM)
        stream.join()
        assert got[0][0] == 200 and got[0][1].count(b"data:") == 20, got
        assert sites[2].wait(PATIENCE_S) == 0
        kept("a planned stop cut off nothing")

    def end(self):
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
            demo.end()


if __name__ == "__main__":
    main()
