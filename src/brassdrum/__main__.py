"""Run the command line as ``python -m brassdrum``."""

import sys

from brassdrum.cli import main

if __name__ == "__main__":
    sys.exit(main())
