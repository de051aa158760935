"""Start brassdrum from inside its one file: nothing is unpacked and no other process starts.

Python cannot import C extensions out of a zip file. Each is read into an anonymous file in memory
(``memfd_create``) and loaded from there, so that hosts need no disk.
"""

import importlib.abc
import importlib.machinery
import importlib.util
import os
import sys
import zipfile

__all__ = ["MemoryExtensionFinder"]

_SUFFIXES = tuple(importlib.machinery.EXTENSION_SUFFIXES)


class MemoryExtensionFinder(importlib.abc.MetaPathFinder):
    """Find C extensions in the archive that the program runs from."""

    def __init__(self, archive):
        self._archive = zipfile.ZipFile(archive)
        self._names_by_module = {}
        for name in self._archive.namelist():
            for suffix in _SUFFIXES:
                if name.endswith(suffix):
                    module = name.removesuffix(suffix).replace("/", ".")
                    self._names_by_module.setdefault(module, name)

    def find_spec(self, fullname, path=None, target=None):
        """Return a spec that loads the extension from memory, or None."""
        name = self._names_by_module.get(fullname)
        if name is None:
            return None
        content = self._archive.read(name)
        descriptor = os.memfd_create(fullname, os.MFD_CLOEXEC)
        view = memoryview(content)
        while view:
            view = view[os.write(descriptor, view) :]
        location = f"/proc/self/fd/{descriptor}"
        loader = importlib.machinery.ExtensionFileLoader(fullname, location)
        return importlib.util.spec_from_file_location(fullname, location, loader=loader)


if __name__ == "__main__":
    sys.dont_write_bytecode = True
    sys.meta_path.insert(0, MemoryExtensionFinder(sys.argv[0]))
    from brassdrum.cli import main

    sys.exit(main())
