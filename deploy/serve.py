"""Starts ``mulberry-site`` from a checkout, without an installation."""

import gc
import os
from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

# What is made while modules are loaded stays: collections in between find
# nothing, and later ones need not look at it again.
gc.disable()
# pydantic asks each installed package whether it extends pydantic; none does.
os.environ.setdefault("PYDANTIC_DISABLE_PLUGINS", "__all__")

from mulberrypass.programs.site import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    main()
