#!/bin/sh
# The stand-ins of cases 11 to 15 are Python files that use the standard library only,
# so there is nothing to compile: this checks that they load, and that the build of
# deploy/system.toml has run.
set -e
cd "$(dirname "$0")/.."
python3 -B -c 'import sys; sys.path.insert(0, "review/harness3"); import rig'
test -d target/deps || { echo "run the build of deploy/system.toml first"; exit 1; }
