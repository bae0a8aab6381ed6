"""Fleet of processes on loopback for one experiment."""

from __future__ import annotations

from functools import partial
import hashlib
import json
from typing import TYPE_CHECKING, Any

import yaml

from mulberrypass.bench.load.http_call import call, wait_until
from mulberrypass.bench.processes.launcher import Launcher
from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.ports import (
    BATCH_PORT,
    CONTROL_PORT,
    ENGINE_PORT,
    ENTRY_PORT,
    ENTRY_STREAM_PORT,
    PLATFORM_PORT,
)

if TYPE_CHECKING:
    import signal

    from mulberrypass.bench.load.http_call import HttpAnswer

PLATFORM_HOST = "127.0.20.1"
PEER_KEY = "bench-peer-key"
OPERATOR_KEY = "bench-operator-key"
ZONES = ("duluth-bay", "sarnia-hall", "erie-vault")
START_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 60.0
ATTEMPT_SEPARATOR = "."
ONLINE_SERVICE = "dock"
BATCH_SERVICE = "manifest"
BATCH_CUSTOMER = "night"


@value_class
class ClusterShape:
    """Numbers of engines and instances, and their settings.

    :param customers: customers that may send online requests
    :param batch: whether each instance runs the batch program
    :param kv_tokens: size of the key-value cache of each engine
    :param slots: slots of each engine
    """

    engines: int = 3
    instances: int = 4
    customers: tuple[str, ...] = ("firm-a", "firm-b", "firm-c")
    batch: bool = False
    kv_tokens: int = 131_072
    slots: int = 64


class Cluster:
    """Context manager that runs a platform, engines and instances."""

    def __init__(self, shape: ClusterShape) -> None:
        self.shape = shape
        self._launcher = Launcher(
            {
                "MULBERRY_PEER_KEY": PEER_KEY,
                "MULBERRY_OPERATOR_KEY": OPERATOR_KEY,
                "MULBERRY_PLATFORM_ADDRESS": PLATFORM_HOST,
                "MULBERRY_LOG_LEVEL": "warning",
            }
        )
        self.engines = tuple(
            f"127.0.21.{n}:{ENGINE_PORT}" for n in range(1, shape.engines + 1)
        )
        self.instances = tuple(
            f"127.0.22.{n}" for n in range(1, shape.instances + 1)
        )

    def __enter__(self) -> Cluster:
        """Start all processes and wait until the instances are ready."""
        try:
            self.start_engines()
            self.start_system()
        except BaseException:
            self._launcher.stop_all()
            raise
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop all processes."""
        self._launcher.stop_all()

    @property
    def logs(self) -> str:
        """Directory of the log files."""
        return str(self._launcher.logs)

    def start_engines(self) -> None:
        """Start a process for each engine."""
        for number, address in enumerate(self.engines, start=1):
            self._launcher.start(
                f"engine-{number}",
                "mulberry-fake-engine",
                f"--addresses={address}",
                f"--slots={self.shape.slots}",
                f"--kv-tokens={self.shape.kv_tokens}",
                "--threads=320",
            )
        for address in self.engines:
            _wait_for_ok(address, "/v1/load")

    def start_system(self) -> None:
        """Start the platform and all instances and submit the objects."""
        platform = f"{PLATFORM_HOST}:{PLATFORM_PORT}"
        self._launcher.start(
            "platform",
            "mulberry-fake-platform",
            f"--address={PLATFORM_HOST}",
            "--list-lag-s=0.5",
        )
        _wait_for_ok(platform, "/instances")
        body = json.dumps({"entries": self._instance_entries()}).encode()
        call("PUT", platform, "/admin/instances", body)
        for number in range(1, len(self.instances) + 1):
            self.start_instance(number)
        self._submit_objects()
        for address in self.instances:
            _wait_for_ok(f"{address}:{ENTRY_PORT}", "/readyz")
            if self.shape.batch:
                _wait_for_ok(f"{address}:{BATCH_PORT}", "/readyz")

    def start_instance(self, number: int) -> None:
        """Start the programs of one instance.

        Only the first instance runs the control program.

        :param number: number of the instance, from 1
        """
        flags = (
            f"--instance=i-{number}",
            f"--zone={_zone(number)}",
            f"--address={self.instances[number - 1]}",
        )
        self._launcher.start(f"entry-{number}", "mulberry-entry", *flags)
        if self.shape.batch:
            self._launcher.start(f"batch-{number}", "mulberry-batch", *flags)
        if number == 1:
            digest = _digest(OPERATOR_KEY)
            bootstrap = f"--bootstrap-key-digest={digest}"
            self._launcher.start(
                "control-1", "mulberry-control", *flags, bootstrap
            )

    def send_signal(self, program: str, signum: signal.Signals) -> None:
        """Send a signal to a program, such as ``entry-2``."""
        self._launcher.send_signal(program, signum)

    def wait(self, program: str, timeout_s: float) -> int | None:
        """Wait for a program and return its exit status, None on timeout."""
        return self._launcher.wait(program, timeout_s)

    def exited(self) -> list[str]:
        """Return the names of the programs that have exited."""
        return self._launcher.exited()

    def cpu_time_s(self, program: str) -> float:
        """Return the processor time that a program has used."""
        return self._launcher.cpu_time_s(program)

    def set_engine_faults(self, engine: int, **faults: Any) -> None:
        """Set faults of an engine.

        :param engine: index of the engine, from 0
        """
        body = json.dumps(faults).encode()
        call("PUT", self.engines[engine], "/admin/faults", body)

    def finished_tokens(self) -> int:
        """Return the tokens of all finished runs."""
        return sum(
            int(self._totals(engine)["finished_tokens"])
            for engine in self.engines
        )

    def seeds(self) -> tuple[str, ...]:
        """Return the addresses from which callers fetch their own."""
        return tuple(
            f"{address}:{ENTRY_STREAM_PORT}" for address in self.instances
        )

    def submit_job(self, lines: list[str], key: str) -> HttpAnswer:
        """Submit a batch job.

        :param key: idempotency key
        """
        path = f"/v1/jobs?service={BATCH_SERVICE}&due=3600"
        headers = bearer(BATCH_CUSTOMER) | {"Idempotency-Key": key}
        address = f"{self.instances[0]}:{BATCH_PORT}"
        return call("POST", address, path, "\n".join(lines).encode(), headers)

    def cancel_job(self, job_id: str) -> HttpAnswer:
        """Cancel a batch job."""
        path = f"/v1/jobs/{job_id}/cancel"
        address = f"{self.instances[0]}:{BATCH_PORT}"
        return call("POST", address, path, b"", bearer(BATCH_CUSTOMER))

    def wait_idle(self) -> None:
        """Wait until all engines are idle."""
        for engine in self.engines:
            idle = partial(self._idle, engine)
            wait_until(f"{engine} to be idle", idle, IDLE_TIMEOUT_S)

    def run_ids(self) -> frozenset[str]:
        """Return the ids of all requests that an engine has started."""
        return frozenset(
            request_id.partition(ATTEMPT_SEPARATOR)[0]
            for engine in self.engines
            for request_id in call("GET", engine, "/admin/runs").json()["runs"]
        )

    def _idle(self, engine: str) -> bool:
        totals = self._totals(engine)
        return int(totals["running"]) + int(totals["waiting"]) == 0

    def _totals(self, engine: str) -> Any:
        return call("GET", engine, "/admin/totals").json()

    def _instance_entries(self) -> list[dict[str, str]]:
        return [
            {
                "name": f"i-{number}",
                "kind": "instance",
                "zone": _zone(number),
                "address": address,
                "state": "live",
            }
            for number, address in enumerate(self.instances, start=1)
        ]

    def _submit_objects(self) -> None:
        control = f"{self.instances[0]}:{CONTROL_PORT}"
        _wait_for_ok(control, "/healthz")
        path = self._launcher.logs / "objects.yaml"
        path.write_text(yaml.safe_dump_all(self._objects(), sort_keys=False))
        self._launcher.call(
            "mulberryctl", "submit", str(path), f"--control=http://{control}"
        )

    def _objects(self) -> list[dict[str, Any]]:
        customers = (*self.shape.customers, BATCH_CUSTOMER)
        backends = [
            {
                "kind": "backend",
                "name": f"engine-{number}",
                "type": "engine",
                "zone": _zone(number),
                "address": address,
                "slots": self.shape.slots,
                "kv_tokens": self.shape.kv_tokens,
            }
            for number, address in enumerate(self.engines, start=1)
        ]
        backend_names = [backend["name"] for backend in backends]
        return [
            *backends,
            {"kind": "pool", "name": "racks", "backends": backend_names},
            {"kind": "model", "name": "rackmind"},
            {
                "kind": "version",
                "name": "r1",
                "model": "rackmind",
                "weights": "rackmind/r1",
                "size_bytes": 16_000_000_000,
            },
            *(
                _with_key("customer", name, customer_key(name))
                for name in customers
            ),
            _with_key("operator", "dba", OPERATOR_KEY),
            _service(ONLINE_SERVICE, streams=True),
            _service(BATCH_SERVICE, streams=False),
        ]


def customer_key(name: str) -> str:
    """Return the API key of a customer."""
    return f"{name}-key"


def bearer(customer: str) -> dict[str, str]:
    """Return the authorization headers of a customer."""
    return {"Authorization": f"Bearer {customer_key(customer)}"}


def _service(name: str, streams: bool) -> dict[str, Any]:
    return {
        "kind": "service",
        "name": name,
        "pool": "racks",
        "model": "rackmind",
        "streams": streams,
        "record": "none",
        "timeout_ms": 60_000,
        "max_output_tokens": 8_192,
        "routes": [{"version": "r1"}],
    }


def _with_key(kind: str, name: str, key: str) -> dict[str, Any]:
    return {"kind": kind, "name": name, "keys": [{"digest": _digest(key)}]}


def _digest(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def _zone(number: int) -> str:
    return ZONES[(number - 1) % len(ZONES)]


def _wait_for_ok(address: str, path: str) -> None:
    wait_until(
        f"{address}{path}",
        lambda: call("GET", address, path).status == 200,
        START_TIMEOUT_S,
    )


__all__ = [
    "BATCH_CUSTOMER",
    "Cluster",
    "ClusterShape",
    "ONLINE_SERVICE",
    "bearer",
    "customer_key",
]
