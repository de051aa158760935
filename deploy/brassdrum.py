"""Start brassdrum from a checkout; its libraries lie on Python's path already."""

import sys
from pathlib import Path

_ROOT = Path(__file__).resolve().parent.parent
# The build compiles there; see system.toml.
sys.pycache_prefix = str(_ROOT / "target" / "pycache")
sys.path.insert(0, str(_ROOT / "src"))

from brassdrum.cli import main

sys.exit(main())
