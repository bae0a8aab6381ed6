"""Runs ``mulberry-site`` from a checkout, without installing it."""

import gc
import os
from pathlib import Path
import signal
import sys

# The platform may announce changed settings at any time; until the program
# handles the signal itself, its default effect would end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
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
