"""The gateway uses only the monotonic clock, since the wall clock can jump."""

import pathlib

import pytest

from corianderrill import gateway, platform

# Log lines carry the wall clock time.
EXEMPT_MODULES = {"event_log.py"}
MODULES = [
    path
    for package in (gateway, platform)
    for path in sorted(pathlib.Path(package.__file__).parent.glob("*.py"))
    if path.name not in EXEMPT_MODULES
]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_module_does_not_read_the_wall_clock(path):
    source = path.read_text()
    assert "time.time" not in source
    assert "datetime" not in source
