"""Starts ``mulberry-site`` from a checkout, without an installation."""

from pathlib import Path
import sys

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "src"))

from mulberrypass.programs.site import main  # noqa: E402

if __name__ == "__main__":
    main()
