"""Uses a running system as its users do and checks the results."""

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

PLATFORM_ADDRESS = "127.0.0.100:7000"
INSTANCES = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
ZONES = ("duluth-bay", "sarnia-hall", "erie-vault")
ENGINE_ADDRESSES = ("127.0.1.1:8000", "127.0.1.2:8000")
CUSTOMER = {"Authorization": "Bearer firm-a-key"}
OTHER_CUSTOMER = {"Authorization": "Bearer firm-b-key"}
ITEMS = 1_000
START_TIMEOUT_S = 30.0
JOB_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.2
CANCEL_SETTLE_S = 2.0
LEAVE_SETTLE_S = 4.0


class DemoError(Exception):
    """A step of the demo could not be carried out."""


@dataclass(frozen=True)
class Reply:
    """An HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body, parsed as JSON."""
        return json.loads(self.body)


@dataclass
class Report:
    """Results of the checks."""

    rows: list[tuple[str, str, bool]] = field(default_factory=list)

    def check(self, promise: str, passed: bool, observed: object) -> None:
        """Record and print the result of a check.

        :param promise: property of the system that is checked
        :param observed: value that the check saw
        """
        self.rows.append((promise, str(observed), passed))
        mark = "kept  " if passed else "BROKEN"
        sys.stdout.write(f"  {mark}  {promise}: {observed}\n")
        sys.stdout.flush()

    @property
    def failed(self) -> int:
        """Number of failed checks."""
        return sum(not passed for _, _, passed in self.rows)

    def write(self) -> None:
        """Print a table of all results."""
        width = max(len(promise) for promise, _, _ in self.rows)
        sys.stdout.write("\n" + "promise".ljust(width) + "  result\n")
        for promise, _, passed in self.rows:
            result = "kept" if passed else "BROKEN"
            sys.stdout.write(promise.ljust(width) + f"  {result}\n")


def call(
    method: str,
    address: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Reply:
    """Send an HTTP request and return the response."""
    conn = http.client.HTTPConnection(address, timeout=30)
    try:
        conn.request(method, path, body, headers or {})
        resp = conn.getresponse()
        found = {name.lower(): value for name, value in resp.getheaders()}
        return Reply(resp.status, found, resp.read())
    finally:
        conn.close()


def wait_until(what: str, done: Callable[[], bool], timeout_s: float) -> None:
    """Wait until a condition holds; connection errors count as false."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        try:
            if done():
                return
        except (OSError, http.client.HTTPException):
            pass
        time.sleep(POLL_INTERVAL_S)
    raise DemoError(f"waited {timeout_s:g} s for {what}: timed out")


def print_title(title: str) -> None:
    """Print the title of a step."""
    sys.stdout.write(f"\n{title}\n")
    sys.stdout.flush()


def register_instances() -> None:
    """Register the instances with the simulated platform."""
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
    call("PUT", PLATFORM_ADDRESS, "/admin/instances", body)


def all_instances_known() -> bool:
    """Return whether the control program knows every instance."""
    headers = {
        "Authorization": f"Bearer {os.environ['MULBERRY_OPERATOR_KEY']}"
    }
    address = f"{INSTANCES[0]}:7300"
    reply = call("GET", address, "/v1/generation", headers=headers)
    return bool(reply.json().get("instances") == len(INSTANCES))


def submit_objects(report: Report) -> None:
    """Submit the objects of examples/demo as an operator."""
    files = sorted(str(path) for path in Path("examples/demo").glob("*.yaml"))
    ctl = str(Path(sys.executable).with_name("mulberryctl"))
    done = subprocess.run(
        [ctl, "submit", *files, "--control", f"http://{INSTANCES[0]}:7300"],
        capture_output=True,
        text=True,
        check=False,
    )
    observed = (done.stdout + done.stderr).strip().splitlines()
    report.check(
        "an operator's objects are checked and take effect",
        done.returncode == 0,
        observed[-1] if observed else f"exit status {done.returncode}",
    )


def is_ready(address: str, port: int) -> bool:
    """Return whether a program is ready."""
    return call("GET", f"{address}:{port}", "/readyz").status == 200


def addresses_for(service: str, use: str = "") -> list[str]:
    """Ask an instance for the addresses of a service."""
    path = f"/v1/addresses?service={service}&zone={ZONES[0]}&use={use}"
    reply = call("GET", f"{INSTANCES[1]}:7100", path, headers=CUSTOMER)
    entries = reply.json().get("addresses", [])
    return [entry["address"] for entry in entries]


def check_online(report: Report) -> None:
    """Check a plain, a streamed and an invalid request."""
    address = addresses_for("dock")[0]
    path = "/v1/services/dock/requests"
    body = json.dumps({"input": "where is box 17", "max_tokens": 12}).encode()
    reply = call("POST", address, path, body, CUSTOMER)
    text = reply.json().get("output", "")
    report.check(
        "a plain answer is complete",
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
    report.check(
        "a streamed answer is complete and in order",
        len(tokens) == 20 and ends == ["done"],
        f"{len(tokens)} tokens, last event {ends}",
    )
    reply = call("POST", address, path, b"{", CUSTOMER)
    report.check(
        "an invalid request is refused without being run",
        reply.status == 400 and reply.json()["ran"] == "no",
        reply.json()["detail"],
    )


def events(body: bytes) -> Iterator[tuple[str, Any]]:
    """Yield the name and data of each server-sent event."""
    for block in body.decode().strip().split("\n\n"):
        name, _, data = block.partition("\n")
        yield name[len("event: ") :], json.loads(data[len("data: ") :])


def check_recorded(report: Report) -> None:
    """Check a recorded request that is sent twice with one key."""
    address = addresses_for("slip")[0]
    path = "/v1/services/slip/requests"
    body = json.dumps({"input": "fetch core 9", "max_tokens": 8}).encode()
    headers = CUSTOMER | {"Idempotency-Key": "slip-9"}
    first = call("POST", address, path, body, headers)
    second = call("POST", addresses_for("slip")[1], path, body, headers)
    request_id = first.headers.get("request-id", "")
    read = call("GET", address, f"/v1/requests/{request_id}", headers=CUSTOMER)
    other = call(
        "GET", address, f"/v1/requests/{request_id}", headers=OTHER_CUSTOMER
    )
    report.check(
        "a resent recorded request gets the same answer",
        first.status == 200
        and first.json()["output"] == second.json().get("output"),
        f"{first.status} and {second.status}",
    )
    report.check(
        "its result stays readable, but only for its customer",
        read.json().get("state") == "done" and other.status == 404,
        f"{read.json().get('state')}; another customer gets {other.status}",
    )


def check_non_idempotent(report: Report) -> None:
    """Check a non-idempotent request that is sent twice with one key."""
    path = "/v1/services/booking/requests"
    body = json.dumps({"input": {"bay": 4}}).encode()
    headers = CUSTOMER | {"Idempotency-Key": "bay-4"}
    before = count_runs("127.0.1.9:8000")
    replies = [
        call("POST", address, path, body, headers)
        for address in addresses_for("booking")[:2]
    ]
    ran = count_runs("127.0.1.9:8000") - before
    report.check(
        "a non-idempotent request sent twice runs once",
        ran == 1 and all(reply.status == 200 for reply in replies),
        f"ran {ran} times, answers {[reply.status for reply in replies]}",
    )


def count_runs(engine: str) -> int:
    """Return the number of runs that a backend server has started."""
    reply = call("GET", engine, "/admin/runs")
    started = reply.json()["started"]
    return sum(started.values()) if isinstance(started, dict) else started


def check_job(report: Report, pids: dict[str, int]) -> None:
    """Check a job that is sent twice and whose instance is killed."""
    address = addresses_for("manifest", "jobs")[0]
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
    report.check(
        "a resent job is the same job",
        first.status in (200, 202) and again.json().get("job_id") == job_id,
        f"{first.status} and {again.status}, {job_id}",
    )
    victim = INSTANCES.index(address.partition(":")[0]) + 1
    for program in ("batch", "entry", "control"):
        os.kill(pids[f"{program}-{victim}"], signal.SIGKILL)
    sys.stdout.write(f"  killed instance i-{victim}, which accepted the job\n")
    other = INSTANCES[victim % len(INSTANCES)] + ":7200"
    status: dict[str, Any] = {}

    def done() -> bool:
        reply = call("GET", other, f"/v1/jobs/{job_id}", headers=CUSTOMER)
        status.update(reply.json())
        return bool(status.get("state") in ("done", "failed", "cancelled"))

    started_at = time.monotonic()
    wait_until("the job", done, JOB_TIMEOUT_S)
    elapsed_s = time.monotonic() - started_at
    reply = call("GET", other, f"/v1/jobs/{job_id}/results", headers=CUSTOMER)
    results = [json.loads(line) for line in reply.body.splitlines()]
    counts = Counter(result["item"] for result in results)
    report.check(
        "every item of the job has exactly one result",
        len(results) == ITEMS
        and sorted(counts) == list(range(ITEMS))
        and all(result["state"] == "done" for result in results),
        f"{len(results)} results, state {status.get('state')}, "
        f"{elapsed_s:.1f} s",
    )


def check_cancellation(report: Report) -> None:
    """Check that no item of a cancelled job starts after a while."""
    address = addresses_for("manifest", "jobs")[0]
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
        lambda: count_job_runs(job_id) > 0,
        JOB_TIMEOUT_S,
    )
    call("POST", address, f"/v1/jobs/{job_id}/cancel", b"", CUSTOMER)
    time.sleep(CANCEL_SETTLE_S)
    before = count_job_runs(job_id)
    time.sleep(CANCEL_SETTLE_S)
    after = count_job_runs(job_id)
    status = call("GET", address, f"/v1/jobs/{job_id}", headers=CUSTOMER)
    report.check(
        "a cancelled job stops",
        before == after < ITEMS * 4,
        f"{before} runs 2 s after the cancellation, {after} later, "
        f"state {status.json().get('state')}",
    )


def count_job_runs(job_id: str) -> int:
    """Return the number of a job's runs that the engines have started."""
    return sum(
        counts["started"]
        for engine in ENGINE_ADDRESSES
        for request_id, counts in call("GET", engine, "/admin/runs")
        .json()["runs"]
        .items()
        if request_id.startswith(job_id)
    )


def check_store_outage(report: Report) -> None:
    """Check online requests during an outage of the platform."""
    faults = json.dumps({"outage": True}).encode()
    call("PUT", PLATFORM_ADDRESS, "/admin/faults", faults)
    body = json.dumps({"input": "where is box 19", "max_tokens": 4}).encode()
    lookups = [
        call("POST", a, "/v1/services/dock/requests", body, CUSTOMER).status
        for a in addresses_for("dock")
    ]
    slip = call(
        "POST",
        addresses_for("slip")[0],
        "/v1/services/slip/requests",
        body,
        CUSTOMER | {"Idempotency-Key": "slip-10"},
    )
    call("PUT", PLATFORM_ADDRESS, "/admin/faults", json.dumps({}).encode())
    report.check(
        "during an outage, lookups succeed and recorded requests do not run",
        set(lookups) == {200} and slip.json().get("ran") == "no",
        f"lookups {lookups}, slip {slip.status} ran {slip.json().get('ran')}",
    )


def check_leaving_engine(report: Report) -> None:
    """Check that a leaving engine gets no new requests."""
    leaving = ENGINE_ADDRESSES[1]
    faults = json.dumps({"leaving": True}).encode()
    call("PUT", leaving, "/admin/faults", faults)
    time.sleep(LEAVE_SETTLE_S)
    before = count_runs(leaving)
    body = json.dumps({"input": "where is box 20", "max_tokens": 4}).encode()
    address = addresses_for("dock")[0]
    answers = Counter(
        call(
            "POST", address, "/v1/services/dock/requests", body, CUSTOMER
        ).status
        for _ in range(20)
    )
    report.check(
        "a leaving backend server gets no new requests",
        count_runs(leaving) == before and answers == {200: 20},
        f"{count_runs(leaving) - before} new runs there, "
        f"answers {dict(answers)}",
    )


def check_planned_stop(report: Report, pids: dict[str, int]) -> None:
    """Check a planned stop of an entry process during a stream."""
    streams = [a for a in addresses_for("dock") if is_alive(a)]
    address = streams[0]
    number = INSTANCES.index(address.partition(":")[0]) + 1
    conn = http.client.HTTPConnection(address, timeout=60)
    body = json.dumps({"input": "long one", "max_tokens": 400, "stream": True})
    conn.request("POST", "/v1/services/dock/requests", body, CUSTOMER)
    resp = conn.getresponse()
    resp.read(1)
    os.kill(pids[f"entry-{number}"], signal.SIGTERM)
    complete = b"event: done" in resp.read()
    conn.close()
    report.check(
        "a planned stop interrupts no request",
        complete,
        "the stream was read to its end",
    )


def is_alive(address: str) -> bool:
    """Return whether the entry process at an address responds."""
    try:
        return call("GET", address, "/healthz").status == 200
    except OSError:
        return False


def main() -> int:
    """Run all steps; return 1 if a check failed, else 0."""
    lines = Path(sys.argv[1]).read_text(encoding="utf-8").split("\n")
    pids = {
        name: int(pid)
        for name, _, pid in (line.partition(" ") for line in lines if line)
    }
    report = Report()
    try:
        print_title(
            "Three instances in three zones, two engines, one plain service"
        )
        wait_until(
            "the platform",
            lambda: call("GET", PLATFORM_ADDRESS, "/instances").status == 200,
            START_TIMEOUT_S,
        )
        register_instances()
        wait_until(
            "control",
            lambda: (
                call("GET", f"{INSTANCES[0]}:7300", "/healthz").status == 200
            ),
            START_TIMEOUT_S,
        )
        wait_until("members", all_instances_known, START_TIMEOUT_S)
        print_title("An operator submits the objects of examples/demo")
        submit_objects(report)
        for address in INSTANCES:
            for port in (7_100, 7_200):
                wait_until(
                    f"{address}:{port}",
                    lambda a=address, p=port: is_ready(a, p),  # type: ignore[misc]
                    START_TIMEOUT_S,
                )
        wait_until(
            "every instance to be in the address lists",
            lambda: all(
                len(addresses_for(service, use)) == len(INSTANCES)
                for service, use in (("dock", ""), ("manifest", "jobs"))
            ),
            START_TIMEOUT_S,
        )
        print_title("A caller looks up addresses and sends online requests")
        check_online(report)
        print_title(
            "A caller sends recorded and non-idempotent requests twice"
        )
        check_recorded(report)
        check_non_idempotent(report)
        print_title(
            f"A caller submits a job of {ITEMS} items; its instance is killed"
        )
        check_job(report, pids)
        print_title("A caller cancels a job")
        check_cancellation(report)
        print_title("The platform's store is down")
        check_store_outage(report)
        print_title("An engine leaves")
        check_leaving_engine(report)
        print_title("An instance is stopped while it streams an answer")
        check_planned_stop(report, pids)
    except DemoError as exc:
        report.check("the demo ran to the end", False, exc)
    report.write()
    return 1 if report.failed else 0


if __name__ == "__main__":
    sys.exit(main())
