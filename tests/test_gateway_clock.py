"""The gateway decides by the steady clock alone, whatever the time of day does."""

import pathlib

import pytest

from corianderrill import gateway, platform

# Lines of the log tell the time of day to their readers.
ALLOWED = {"event_log.py"}
MODULES = [
    path
    for package in (gateway, platform)
    for path in sorted(pathlib.Path(package.__file__).parent.glob("*.py"))
    if path.name not in ALLOWED
]


@pytest.mark.parametrize("path", MODULES, ids=lambda path: path.stem)
def test_module_does_not_read_the_time_of_day(path):
    source = path.read_text()
    assert "time.time" not in source
    assert "datetime" not in source
