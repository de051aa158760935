"""Pack an installed tree into one executable file."""

import shutil
import sys
import zipapp
from pathlib import Path

__all__ = ["build"]

_LEFT_OUT = ("*.pyi", "*.c", "*.h", "tests", "bin", "__pycache__")


def build(tree: Path, target: Path) -> None:
    """Write the archive with a first line that finds the interpreter."""
    shutil.copy(Path(__file__).with_name("binary_main.py"), tree / "__main__.py")
    for pattern in _LEFT_OUT:
        for path in list(tree.rglob(pattern)):
            if path.is_dir():
                shutil.rmtree(path)
                continue
            path.unlink()
    zipapp.create_archive(tree, target, interpreter="/usr/bin/env python3", compressed=True)


if __name__ == "__main__":
    build(Path(sys.argv[1]), Path(sys.argv[2]))
