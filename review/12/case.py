"""Bodies in chunks are denied once the limit on bodies is close to them.

A new desired state lowers MaxBodyBytes to 110,592. Callers send bodies of
110,000 bytes at most, with a length or in chunks.
"""

from pathlib import Path
import socket
import sys
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins3"))

from harness3 import TROUBLE, Site, run

HOST = "hall.example"
SERVICE = "rackmind"
BODY_BYTES = 110_000
CHUNK_BYTES = 1_024
REQUESTS = 60
# What the rule allows: 5 and one in 500 of all requests.
ALLOWED = 5 + REQUESTS / 500
APPLY_S = 2.0


def config(version, body_bytes):
    return {
        "Version": version,
        "Routes": [{
            "Name": "slip", "Host": HOST, "Prefix": "/slip/",
            "RouteType": "streaming", "Resumable": True, "Service": SERVICE,
            "TimeoutMs": 5000, "TargetLatencyMs": 300, "MaxAttempts": 2,
            "Priority": 0, "Sticky": True, "TargetGapMs": 200}],
        "Services": [{
            "Name": SERVICE, "HealthPath": "/healthz", "MaxConns": 290,
            "Engine": {"KvCapacityTokens": 128539, "Stride": 1}}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": body_bytes,
                   "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 20000}}


def send(site, number, request_id, chunked):
    """Send one request on a new channel; return the status."""
    body = b"x" * BODY_BYTES
    head = [f"POST /slip/{request_id} HTTP/1.1", f"Host: {HOST}",
            f"X-Mulberrypass-Request-Id: {request_id}",
            "X-Mulberrypass-Model: m",
            "X-Mulberrypass-Token-Counts: 450,30",
            "X-Mulberrypass-Prompt-Prefix: aa:100,bb:100,cc:250",
            "X-Mulberrypass-Deadline-Ms: 5000", "Connection: close"]
    if chunked:
        head.append("Transfer-Encoding: chunked")
        parts = [body[at:at + CHUNK_BYTES]
                 for at in range(0, len(body), CHUNK_BYTES)]
        data = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
        data += b"0\r\n\r\n"
    else:
        head.append(f"Content-Length: {len(body)}")
        data = body
    sock = socket.create_connection((f"{site.net}.{number}", 8161), 5)
    with sock:
        sock.settimeout(6)
        answer = b""
        try:
            sock.sendall("\r\n".join(head).encode() + b"\r\n\r\n" + data)
            while part := sock.recv(65536):
                answer += part
        except OSError as exc:
            if not answer:
                return repr(exc)
    status = answer.split(b" ", 2)[1].decode()
    whole = answer.endswith(b"0\r\n\r\n") or status != "200"
    return status if whole else "cut"


def case(site):
    site.start_store(config(3, 4_194_304))
    for number in (1, 2):
        site.start_engine(f"e{number}", number, service=SERVICE, slots=8,
                          events=20, event_s=0.005)
    site.start_instances()
    if TROUBLE:
        site.put("op/config", config(5, 110_592))
        site.note("the desired state with MaxBodyBytes 110592 is acknowledged")
    time.sleep(APPLY_S + 2)
    counts = {}
    for number in range(REQUESTS):
        chunked = number % 2 == 1
        status = send(site, 1 + number % 3, f"r{number:04d}", chunked)
        key = ("in chunks" if chunked else "with a length", status)
        counts[key] = counts.get(key, 0) + 1
        time.sleep(0.05)
    for (form, status), count in sorted(counts.items()):
        site.note(f"{count} requests of {BODY_BYTES} bytes {form}: {status}")
    runs = len({e["id"] for e in site.engine_events() if e["what"] == "run"})
    site.note(f"{runs} of {REQUESTS} requests were run by an engine")
    denied = sum(count for (_, status), count in counts.items()
                 if status.startswith(("3", "4"))
                 and status not in ("408", "421", "429"))
    return denied > ALLOWED


if __name__ == "__main__":
    run(lambda: Site(12), case)
