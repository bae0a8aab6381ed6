"""Idle connections of a server that ends while it is checked."""

from __future__ import annotations

import contextlib
import socket
import threading
import time
import unittest

from mulberrypass.engine.pool import ConnectionPool
from mulberrypass.engine.wire import Deadline, WireError

HOST = "127.0.0.1"
# Between two sockets of a process that ends.
CLOSE_S = 0.01
CHECK_S = 0.5


class EndingIdleTest(unittest.TestCase):
    """A server that ended counted as alive for its idle connections."""

    def check_ends(self, idle: int, listener_first: bool) -> None:
        listener = socket.create_server((HOST, 0))
        self.addCleanup(listener.close)
        pool = ConnectionPool(f"{HOST}:{listener.getsockname()[1]}")
        self.addCleanup(pool.close)
        due = Deadline.after(10.0)
        accepted = []
        conns = []
        for _ in range(idle):
            conns.append(pool._connect(due))
            accepted.append(listener.accept()[0])
        for conn in conns:
            pool.put(conn)

        def end() -> None:
            with contextlib.suppress(OSError):
                if listener_first:
                    listener.close()
                for each in reversed(accepted):
                    time.sleep(CLOSE_S)
                    each.close()
                time.sleep(CLOSE_S)
                listener.close()

        thread = threading.Thread(target=end)
        thread.start()
        self.addCleanup(thread.join)
        with self.assertRaises(WireError):
            pool.check_listening(Deadline.after(CHECK_S))

    def test_idle_connections_that_close_one_by_one(self) -> None:
        for idle in (0, 1, 2, 3):
            for listener_first in (True, False):
                with self.subTest(idle=idle, listener_first=listener_first):
                    self.check_ends(idle, listener_first)


if __name__ == "__main__":
    unittest.main()
