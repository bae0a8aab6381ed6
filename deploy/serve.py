"""Runs ``mulberry-site`` from a checkout, without installing it."""

import gc
import os
from pathlib import Path
import signal
import sys

# Reloads and state dumps may be asked for at any time; until the program
# handles these signals itself, their default effect would end the process.
for signum in (signal.SIGHUP, signal.SIGUSR1):
    signal.signal(signum, signal.SIG_IGN)
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

# Objects that are created during the imports live until exit: collections
# during the imports would find nothing, and freezing spares later collections
# from traversing these objects again.
gc.disable()
# pydantic scans all installed packages for plugins; none provides one.
os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")

from mulberrypass.programs.site import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    main()
