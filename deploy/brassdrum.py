"""Start brassdrum from a checkout; its libraries lie on Python's path already."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from brassdrum.cli import main

sys.exit(main())
