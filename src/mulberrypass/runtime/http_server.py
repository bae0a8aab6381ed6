"""HTTP server with client limits and a graceful stop."""

from __future__ import annotations

import contextlib
import socket
import sys
import threading
import time
from typing import TYPE_CHECKING, Any, Protocol, cast

import waitress.server

from mulberrypass.model.value_class import value_class
from mulberrypass.runtime.client_bytes import MAX_CLIENT_BYTES, ClientBytes
from mulberrypass.runtime.connection import StopSteps, connection_class
from mulberrypass.runtime.dispatcher import PooledDispatcher
from mulberrypass.runtime.wakeup import Wakeup

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_HEADER_BYTES = 32_768
# A client that sends a head slowly occupies a connection, but no thread.
HEAD_TIMEOUT_S = 30.0
DRAIN_POLL_S = 0.02
# An answer waits while so many of its bytes wait for their client: a quarter
# of the smallest instance's 200 MB, by the 96 requests answered at once.
MAX_WAITING_BYTES = 524_288
# A request waits a moment if it comes while a thread still ends another one.
THREAD_WAIT_S = 0.2
# No files for what is sent and received: the sites' machines have no disk,
# and /tmp counts as memory.
NO_FILES = sys.maxsize
# For answers to requests that the end of the grace time breaks off: work that
# nobody waits for ends within 0.05 s.
LAST_ANSWERS_S = 0.3


@value_class
class ClientLimits:
    """Limits on the size of requests and on the time clients may take.

    :param head_s: from the first byte of a request's head to its last
    :param idle_s: time after which an idle connection is closed, and, while
        requests wait for a thread, one whose client takes no byte of its
        answer
    """

    head_bytes: int = MAX_HEADER_BYTES
    body_bytes: int = 8_388_608
    head_s: float = HEAD_TIMEOUT_S
    idle_s: float = 60.0


class ServedApp(Protocol):
    """A WSGI application that counts its requests in flight."""

    @property
    def in_flight(self) -> int:
        """Number of requests that aren't completely answered."""

    def __call__(
        self, environ: dict[str, Any], start_response: Any
    ) -> Iterable[bytes]:
        """Answer a request."""


class HttpServer:
    """Serves an application on its own accept queue and thread pool.

    :param port: 0 for any free port
    :param threads: maximum number of requests answered at once
    :param max_body_bytes: larger bodies are refused before they are read
    :param idle_s: time after which an idle connection is closed
    :param client_bytes: held at once of bodies and answers of all clients
    """

    def __init__(
        self,
        app: ServedApp,
        host: str,
        port: int,
        threads: int,
        max_body_bytes: int,
        idle_s: int = 60,
        client_bytes: int = MAX_CLIENT_BYTES,
    ) -> None:
        self._app = app
        self._steps = StopSteps()
        self._head_s = HEAD_TIMEOUT_S
        dispatcher = PooledDispatcher(f"http-{port}", threads)
        self._server = cast("Any", waitress.server.create_server)(
            app,
            _dispatcher=dispatcher,
            host=host,
            port=port,
            backlog=1_024,
            connection_limit=2_000,
            channel_timeout=idle_s,
            cleanup_interval=max(1, min(30, idle_s // 2)),
            channel_request_lookahead=1,
            max_request_body_size=max_body_bytes,
            max_request_header_size=MAX_HEADER_BYTES,
            clear_untrusted_proxy_headers=True,
            outbuf_high_watermark=MAX_WAITING_BYTES,
            outbuf_overflow=NO_FILES,
            inbuf_overflow=NO_FILES,
            asyncore_use_poll=True,
            log_socket_errors=False,
            ident=None,
        )
        self._wakeup = Wakeup(self._server)
        self._server.channel_class = connection_class(
            self._steps,
            lambda: self._head_s,
            ClientBytes(client_bytes),
            lambda: dispatcher.waits_s > THREAD_WAIT_S,
        )
        self._thread = threading.Thread(
            target=self._server.run, name=f"http-{port}", daemon=True
        )

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return int(self._server.effective_port)

    @property
    def in_flight(self) -> int:
        """Number of requests that aren't completely answered."""
        return self._app.in_flight

    def start(self) -> None:
        """Start accepting connections."""
        self._thread.start()

    def limit(self, limits: ClientLimits) -> None:
        """Change the limits, also for open connections."""
        adj = self._server.adj
        adj.max_request_header_size = limits.head_bytes
        adj.max_request_body_size = limits.body_bytes
        adj.channel_timeout = limits.idle_s
        self._head_s = limits.head_s

    def disable_keep_alive(self) -> None:
        """Close each connection after its next answer, which says so."""
        self._steps.closing.set()

    def stop(self, grace_s: float) -> bool:
        """Finish the requests in flight, then close.

        Kept connections without a request are closed at once: what is sent
        on them later isn't read, and so can't be cut off.

        :param grace_s: seconds after which requests in flight are told to
            end; they have ``LAST_ANSWERS_S`` more to answer with a failure
        :returns: whether all requests were answered completely
        """
        deadline = time.monotonic() + grace_s
        self._refuse_connections()
        self._steps.closing.set()
        self._steps.ending.set()
        self._wakeup.pull()
        drained = self._drain(deadline)
        if not drained:
            self._steps.overdue.set()
            self._drain(time.monotonic() + LAST_ANSWERS_S)
        self._wakeup.close()
        return drained

    def _refuse_connections(self) -> None:
        """Stop listening now; a close would wait for the next poll."""
        listening = self._server.socket
        if listening is not None:
            with contextlib.suppress(OSError):
                listening.shutdown(socket.SHUT_RDWR)

    def _drain(self, deadline: float) -> bool:
        while self._busy() and time.monotonic() < deadline:
            time.sleep(DRAIN_POLL_S)
        return not self._busy()

    def _busy(self) -> bool:
        """Whether connections are accepted or open, or answers are made.

        An open connection has a request that is arriving, waits for a
        thread or is answered, or an answer that isn't sent yet.
        """
        listening = self._server.accepting and self._thread.is_alive()
        open_count = len(self._server.active_channels)
        return listening or open_count > 0 or self._app.in_flight > 0


__all__ = ["ClientLimits", "HttpServer", "ServedApp"]
