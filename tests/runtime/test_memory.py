"""Tests of the memory that a process keeps."""

from __future__ import annotations

import subprocess
import sys
import unittest

THREADS = 64
BYTES = 100_000
# Each of that many threads holds so much at a different time.
PROGRAM = f"""
import sys, threading
from mulberrypass.runtime.memory import limit_arenas

def resident():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * 4_096

if sys.argv[1] == "limited":
    limit_arenas()
turns = [threading.Event() for _ in range({THREADS} + 1)]

def hold(number):
    turns[number].wait()
    held = [bytes({BYTES}) for _ in range(50)]
    # A small object behind them keeps the library from returning them.
    kept = bytes(1_000)
    del held
    turns[number + 1].set()
    done.wait()
    del kept

done = threading.Event()
threads = [threading.Thread(target=hold, args=(n,)) for n in range({THREADS})]
for thread in threads:
    thread.start()
before = resident()
turns[0].set()
turns[{THREADS}].wait()
print(resident() - before)
done.set()
"""


def growth(way: str) -> int:
    """Return by how many bytes a process grows."""
    done = subprocess.run(
        [sys.executable, "-c", PROGRAM, way],
        capture_output=True,
        check=True,
        text=True,
        timeout=60,
    )
    return int(done.stdout)


class ArenasTest(unittest.TestCase):
    """What one thread had freed was of no use to another."""

    def test_threads_share_freed_memory(self) -> None:
        # What one thread holds for each arena, and as much for the rest.
        self.assertLess(growth("limited"), 3 * 50 * BYTES)


if __name__ == "__main__":
    unittest.main()
