"""Uses a running system as its users would, and checks what it promised."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
import http.client
import json
import os
from pathlib import Path
import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

PLATFORM = "127.0.0.100:7000"
INSTANCES = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
ZONES = ("duluth-bay", "sarnia-hall", "erie-vault")
ENGINES = ("127.0.1.1:8000", "127.0.1.2:8000")
CUSTOMER = {"Authorization": "Bearer firm-a-key"}
RIVAL = {"Authorization": "Bearer firm-b-key"}
ITEMS = 1_000
START_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 60.0
POLL_S = 0.2
CANCEL_S = 2.0
LEAVE_S = 4.0


class DemoError(Exception):
    """A step could not be taken."""


@dataclass(frozen=True)
class Reply:
    """One HTTP answer."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Read the body as JSON."""
        return json.loads(self.body)


@dataclass
class Table:
    """What each step showed."""

    rows: list[tuple[str, str, bool]] = field(default_factory=list)

    def check(self, promise: str, kept: bool, shown: object) -> None:
        """Note whether a promise was kept."""
        self.rows.append((promise, str(shown), kept))
        mark = "kept  " if kept else "BROKEN"
        sys.stdout.write(f"  {mark}  {promise}: {shown}\n")
        sys.stdout.flush()

    @property
    def broken(self) -> int:
        """How many promises were broken."""
        return sum(not kept for _, _, kept in self.rows)

    def write(self) -> None:
        """Print the table."""
        width = max(len(promise) for promise, _, _ in self.rows)
        sys.stdout.write("\n" + "promise".ljust(width) + "  result\n")
        for promise, _, kept in self.rows:
            result = "kept" if kept else "BROKEN"
            sys.stdout.write(promise.ljust(width) + f"  {result}\n")


def call(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Make one HTTP call."""
    conn = http.client.HTTPConnection(address, timeout=30)
    try:
        conn.request(method, path, body, headers or {})
        resp = conn.getresponse()
        found = {name.lower(): value for name, value in resp.getheaders()}
        return Reply(resp.status, found, resp.read())
    finally:
        conn.close()


def wait_until(what: str, done: Callable[[], bool], timeout_s: float) -> None:
    """Wait for something that the system is to reach."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if done():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(POLL_S)
    raise DemoError(f"waited {timeout_s:g} s in vain for {what}")


def say(title: str) -> None:
    """Print the title of a step."""
    sys.stdout.write(f"\n{title}\n")
    sys.stdout.flush()


def list_instances() -> None:
    """Tell the platform's stand-in which machines there are."""
    entries = [
        {
            "name": f"i-{number}",
            "kind": "instance",
            "zone": zone,
            "address": address,
            "state": "live",
        }
        for number, (address, zone) in enumerate(
            zip(INSTANCES, ZONES, strict=True), start=1
        )
    ]
    body = json.dumps({"entries": entries}).encode()
    call("PUT", PLATFORM, "/admin/instances", body)


def all_known() -> bool:
    """Whether the control program knows every instance."""
    headers = {
        "Authorization": f"Bearer {os.environ['MULBERRY_OPERATOR_KEY']}"
    }
    address = f"{INSTANCES[0]}:7300"
    reply = call("GET", address, "/v1/generation", headers=headers)
    return bool(reply.json().get("instances") == len(INSTANCES))


def submit_objects(table: Table) -> None:
    """Submit the objects of examples/demo as an operator."""
    files = sorted(str(path) for path in Path("examples/demo").glob("*.yaml"))
    ctl = str(Path(sys.executable).with_name("mulberryctl"))
    done = subprocess.run(
        [ctl, "submit", *files, "--control", f"http://{INSTANCES[0]}:7300"],
        capture_output=True,
        text=True,
        check=False,
    )
    shown = (done.stdout + done.stderr).strip().splitlines()
    table.check(
        "an operator's objects are checked and put in force",
        done.returncode == 0,
        shown[-1] if shown else f"exit status {done.returncode}",
    )


def ready(address: str, port: int) -> bool:
    """Whether a program is ready."""
    return call("GET", f"{address}:{port}", "/readyz").status == 200


def address_for(service: str, use: str = "") -> list[str]:
    """Ask any instance which addresses to use."""
    path = f"/v1/addresses?service={service}&zone={ZONES[0]}&use={use}"
    reply = call("GET", f"{INSTANCES[1]}:7100", path, headers=CUSTOMER)
    entries = reply.json().get("addresses", [])
    return [entry["address"] for entry in entries]


def online(table: Table) -> None:
    """Ask for a plain and a streamed answer."""
    address = address_for("dock")[0]
    path = "/v1/services/dock/requests"
    body = json.dumps({"input": "where is box 17", "max_tokens": 12}).encode()
    reply = call("POST", address, path, body, CUSTOMER)
    text = reply.json().get("output", "")
    table.check(
        "a plain answer is whole",
        reply.status == 200 and len(text.split()) == 12,
        f"{reply.status}, {len(text.split())} tokens from {address}",
    )
    body = json.dumps(
        {"input": "where is box 18", "max_tokens": 20, "stream": True}
    ).encode()
    reply = call("POST", address, path, body, CUSTOMER)
    tokens = [
        token
        for name, data in events(reply.body)
        if name == "tokens"
        for token in data["tokens"]
    ]
    ends = [name for name, _ in events(reply.body)][-1:]
    table.check(
        "a streamed answer is whole and in order",
        len(tokens) == 20 and ends == ["done"],
        f"{len(tokens)} tokens, last event {ends}",
    )
    reply = call("POST", address, path, b"{", CUSTOMER)
    table.check(
        "a bad request is refused as not run",
        reply.status == 400 and reply.json()["ran"] == "no",
        reply.json()["detail"],
    )


def events(body: bytes) -> Iterator[tuple[str, Any]]:
    """Read server-sent events."""
    for block in body.decode().strip().split("\n\n"):
        name, _, data = block.partition("\n")
        yield name[len("event: ") :], json.loads(data[len("data: ") :])


def recorded(table: Table) -> None:
    """Send a recorded request twice under one key."""
    address = address_for("slip")[0]
    path = "/v1/services/slip/requests"
    body = json.dumps({"input": "fetch core 9", "max_tokens": 8}).encode()
    headers = CUSTOMER | {"Idempotency-Key": "slip-9"}
    first = call("POST", address, path, body, headers)
    second = call("POST", address_for("slip")[1], path, body, headers)
    request_id = first.headers.get("request-id", "")
    read = call("GET", address, f"/v1/requests/{request_id}", headers=CUSTOMER)
    rival = call("GET", address, f"/v1/requests/{request_id}", headers=RIVAL)
    table.check(
        "a resent recorded request gets the same answer",
        first.status == 200
        and first.json()["output"] == second.json().get("output"),
        f"{first.status} and {second.status}",
    )
    table.check(
        "its result stays readable, for its own customer only",
        read.json().get("state") == "done" and rival.status == 404,
        f"{read.json().get('state')}; a rival gets {rival.status}",
    )


def once_only(table: Table) -> None:
    """Send a non-idempotent call twice under one key."""
    path = "/v1/services/booking/requests"
    body = json.dumps({"input": {"bay": 4}}).encode()
    headers = CUSTOMER | {"Idempotency-Key": "bay-4"}
    before = runs("127.0.1.9:8000")
    replies = [
        call("POST", address, path, body, headers)
        for address in address_for("booking")[:2]
    ]
    ran = runs("127.0.1.9:8000") - before
    table.check(
        "a non-idempotent request sent twice runs once",
        ran == 1 and all(reply.status == 200 for reply in replies),
        f"ran {ran} time, answers {[reply.status for reply in replies]}",
    )


def runs(engine: str) -> int:
    """Count the runs that a backend server has started."""
    reply = call("GET", engine, "/admin/runs")
    started = reply.json()["started"]
    return sum(started.values()) if isinstance(started, dict) else started


def job(table: Table, pids: dict[str, int]) -> None:
    """Submit a job twice, lose its instance, and read its results."""
    address = address_for("manifest", "jobs")[0]
    lines = [
        json.dumps({"input": f"crate {n} len=6", "max_tokens": 6})
        for n in range(ITEMS)
    ]
    body = "\n".join(lines).encode()
    headers = CUSTOMER | {"Idempotency-Key": "night-1"}
    path = "/v1/jobs?service=manifest&due=3600"
    first = call("POST", address, path, body, headers)
    again = call("POST", address, path, body, headers)
    job_id = first.json().get("job_id", "")
    table.check(
        "a resent job is the same job",
        first.status in (200, 202) and again.json().get("job_id") == job_id,
        f"{first.status} and {again.status}, {job_id}",
    )
    victim = INSTANCES.index(address.partition(":")[0]) + 1
    for program in ("batch", "entry", "control"):
        os.kill(pids[f"{program}-{victim}"], signal.SIGKILL)
    sys.stdout.write(f"  killed instance i-{victim}, which took the job\n")
    other = INSTANCES[victim % len(INSTANCES)] + ":7200"
    status: dict[str, Any] = {}

    def done() -> bool:
        reply = call("GET", other, f"/v1/jobs/{job_id}", headers=CUSTOMER)
        status.update(reply.json())
        return bool(status.get("state") in ("done", "failed", "cancelled"))

    began = time.monotonic()
    wait_until("the job", done, JOB_TIMEOUT_S)
    took = time.monotonic() - began
    reply = call("GET", other, f"/v1/jobs/{job_id}/results", headers=CUSTOMER)
    results = [json.loads(line) for line in reply.body.splitlines()]
    counts = Counter(result["item"] for result in results)
    table.check(
        "every item of the job is there exactly once",
        len(results) == ITEMS
        and sorted(counts) == list(range(ITEMS))
        and all(result["state"] == "done" for result in results),
        f"{len(results)} results, state {status.get('state')}, {took:.1f} s",
    )


def cancel(table: Table) -> None:
    """Cancel a job, and see that nothing of it starts afterwards."""
    address = address_for("manifest", "jobs")[0]
    lines = [
        json.dumps({"input": f"crate {n} len=200", "max_tokens": 200})
        for n in range(ITEMS * 4)
    ]
    path = "/v1/jobs?service=manifest&due=3600"
    headers = CUSTOMER | {"Idempotency-Key": "night-2"}
    body = "\n".join(lines).encode()
    reply = call("POST", address, path, body, headers)
    job_id = reply.json()["job_id"]
    wait_until(
        "the job to start",
        lambda: starts_of(job_id) > 0,
        JOB_TIMEOUT_S,
    )
    call("POST", address, f"/v1/jobs/{job_id}/cancel", b"", CUSTOMER)
    time.sleep(CANCEL_S)
    before = starts_of(job_id)
    time.sleep(CANCEL_S)
    after = starts_of(job_id)
    status = call("GET", address, f"/v1/jobs/{job_id}", headers=CUSTOMER)
    table.check(
        "a cancelled job stops",
        before == after < ITEMS * 4,
        f"{before} starts 2 s after the cancel, {after} later, "
        f"state {status.json().get('state')}",
    )


def starts_of(job_id: str) -> int:
    """Count the runs of a job that the engines have started."""
    return sum(
        counts["started"]
        for engine in ENGINES
        for request_id, counts in call("GET", engine, "/admin/runs")
        .json()["runs"]
        .items()
        if request_id.startswith(job_id)
    )


def outage(table: Table) -> None:
    """Take the platform away for a while."""
    faults = json.dumps({"outage": True}).encode()
    call("PUT", PLATFORM, "/admin/faults", faults)
    body = json.dumps({"input": "where is box 19", "max_tokens": 4}).encode()
    lookups = [
        call("POST", a, "/v1/services/dock/requests", body, CUSTOMER).status
        for a in address_for("dock")
    ]
    slip = call(
        "POST",
        address_for("slip")[0],
        "/v1/services/slip/requests",
        body,
        CUSTOMER | {"Idempotency-Key": "slip-10"},
    )
    call("PUT", PLATFORM, "/admin/faults", json.dumps({}).encode())
    table.check(
        "lookups go on while the store is down; slips are not run",
        set(lookups) == {200} and slip.json().get("ran") == "no",
        f"lookups {lookups}, slip {slip.status} ran {slip.json().get('ran')}",
    )


def leave(table: Table) -> None:
    """Let an engine leave, and send requests."""
    leaving = ENGINES[1]
    faults = json.dumps({"leaving": True}).encode()
    call("PUT", leaving, "/admin/faults", faults)
    time.sleep(LEAVE_S)
    before = runs(leaving)
    body = json.dumps({"input": "where is box 20", "max_tokens": 4}).encode()
    address = address_for("dock")[0]
    answers = Counter(
        call(
            "POST", address, "/v1/services/dock/requests", body, CUSTOMER
        ).status
        for _ in range(20)
    )
    table.check(
        "a leaving backend server gets nothing new",
        runs(leaving) == before and answers == {200: 20},
        f"{runs(leaving) - before} new runs there, answers {dict(answers)}",
    )


def stop(table: Table, pids: dict[str, int]) -> None:
    """Stop an entry process while it answers."""
    streams = [a for a in address_for("dock") if alive(a)]
    address = streams[0]
    number = INSTANCES.index(address.partition(":")[0]) + 1
    conn = http.client.HTTPConnection(address, timeout=60)
    body = json.dumps({"input": "long one", "max_tokens": 400, "stream": True})
    conn.request("POST", "/v1/services/dock/requests", body, CUSTOMER)
    resp = conn.getresponse()
    resp.read(1)
    os.kill(pids[f"entry-{number}"], signal.SIGTERM)
    whole = b"event: done" in resp.read()
    conn.close()
    table.check(
        "a planned stop cuts off no request", whole, "the stream ended whole"
    )


def alive(address: str) -> bool:
    """Whether an entry address answers."""
    try:
        return call("GET", address, "/healthz").status == 200
    except OSError:
        return False


def main() -> int:
    """Take all steps; the exit status says whether a promise was broken."""
    lines = Path(sys.argv[1]).read_text(encoding="utf-8").split("\n")
    pids = {
        name: int(pid)
        for name, _, pid in (line.partition(" ") for line in lines if line)
    }
    table = Table()
    try:
        say("Three instances in three zones, two engines, one plain service")
        wait_until(
            "the platform",
            lambda: call("GET", PLATFORM, "/instances").status == 200,
            START_TIMEOUT_S,
        )
        list_instances()
        wait_until(
            "control",
            lambda: (
                call("GET", f"{INSTANCES[0]}:7300", "/healthz").status == 200
            ),
            START_TIMEOUT_S,
        )
        wait_until("members", all_known, START_TIMEOUT_S)
        say("An operator submits the objects of examples/demo")
        submit_objects(table)
        for address in INSTANCES:
            for port in (7_100, 7_200):
                wait_until(
                    f"{address}:{port}",
                    lambda a=address, p=port: ready(a, p),  # type: ignore[misc]
                    START_TIMEOUT_S,
                )
        wait_until(
            "every instance to be named",
            lambda: all(
                len(address_for(service, use)) == len(INSTANCES)
                for service, use in (("dock", ""), ("manifest", "jobs"))
            ),
            START_TIMEOUT_S,
        )
        say("A caller asks which address to use, and sends online requests")
        online(table)
        say("A caller sends recorded and non-idempotent requests twice")
        recorded(table)
        once_only(table)
        say(f"A caller submits a job of {ITEMS} items; its instance is lost")
        job(table, pids)
        say("A caller cancels a job")
        cancel(table)
        say("The platform's store is down")
        outage(table)
        say("An engine leaves")
        leave(table)
        say("An instance is stopped while it streams an answer")
        stop(table, pids)
    except DemoError as exc:
        table.check("the demo ran to its end", False, exc)
    table.write()
    return 1 if table.broken else 0


if __name__ == "__main__":
    sys.exit(main())
