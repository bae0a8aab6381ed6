"""Tests of when an instance says that it is ready."""

from __future__ import annotations

import time
from typing import Any
from unittest import mock

from mulberrypass.testing.row_state import RowState
from tests.platform.raw_site import RawSiteTest, stream_route

ENGINES = "servers"
LATE_S = 0.5


class ReadyTest(RawSiteTest):
    """An instance was ready before it knew an engine, and refused a call."""

    routes = (stream_route("once"),)

    def test_ready_instance_knows_its_engines(self) -> None:
        scan = RowState.scan

        def scan_late(state: RowState, table: str, *args: Any) -> Any:
            if table == ENGINES:
                time.sleep(LATE_S)
            return scan(state, table, *args)

        with mock.patch.object(RowState, "scan", scan_late):
            address = self.start_instance()
            reply = self.send(address, "/once/x", "", 1)
        self.assertEqual(200, reply.status, reply.body)
