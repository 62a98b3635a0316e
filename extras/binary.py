"""Builds the program as one file from the packages that the tests ran with.

The file unpacks into SHIV_ROOT once and runs in the process that was started.
"""

import compileall
import importlib.metadata
import pathlib
import py_compile
import re
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator

from packaging import requirements

PACKAGE = "corianderrill"
ENTRY_POINT = "corianderrill.__main__:main"
ROOT = "/tmp/corianderrill"
PREAMBLE = pathlib.Path(__file__).with_name("preamble.py")

# Needed to install a library or to colour the output of a terminal.
UNUSED = frozenset(("setuptools", "pbr", "rich"))


def main(output: pathlib.Path) -> None:
    """Build the file."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as directory:
        site = pathlib.Path(directory) / "site-packages"
        copy_packages(site)
        # Unpacking changes the times of files; checked hashes would be read twice.
        compileall.compile_dir(
            site,
            quiet=1,
            stripdir=str(site),
            invalidation_mode=py_compile.PycInvalidationMode.UNCHECKED_HASH,
        )
        subprocess.run(build_command(site, output), check=True)


def copy_packages(site: pathlib.Path) -> None:
    """Copy the package and what it needs at run time."""
    source = pathlib.Path(__file__).parent.parent / PACKAGE
    ignored = shutil.ignore_patterns("__pycache__")
    shutil.copytree(source, site / PACKAGE, ignore=ignored)
    for distribution in list_distributions():
        for file in distribution.files or ():
            if ".." in file.parts or file.suffix in (".pyc", ".pth"):
                continue
            target = site / file
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(distribution.locate_file(file), target)


def list_distributions() -> Iterator[importlib.metadata.Distribution]:
    """Yield the installed distributions that the package needs, itself left out."""
    seen = set(UNUSED)
    waiting = list(list_requirements(importlib.metadata.distribution(PACKAGE)))
    while waiting:
        name = waiting.pop()
        if name not in seen:
            seen.add(name)
            distribution = importlib.metadata.distribution(name)
            waiting.extend(list_requirements(distribution))
            yield distribution


def list_requirements(distribution: importlib.metadata.Distribution) -> Iterator[str]:
    """Yield the names that a distribution requires here, extras left out."""
    for text in distribution.requires or ():
        requirement = requirements.Requirement(text)
        marker = requirement.marker
        if marker is None or marker.evaluate({"extra": ""}):
            yield re.sub(r"[-_.]+", "-", requirement.name).lower()


def build_command(site: pathlib.Path, output: pathlib.Path) -> list[str]:
    """Return the command that packs a directory into one file."""
    version = f"{sys.version_info.major}.{sys.version_info.minor}"
    return [
        *(sys.executable, "-m", "shiv"),
        *("--site-packages", str(site)),
        *("--entry-point", ENTRY_POINT),
        *("--python", f"/usr/bin/env python{version}"),
        *("--root", ROOT),
        *("--output-file", str(output)),
        *("--preamble", str(PREAMBLE)),
        "--compressed",
        "--reproducible",
    ]


if __name__ == "__main__":
    main(pathlib.Path(sys.argv[1]))
