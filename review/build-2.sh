#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the gateway: stand-ins
# in Python that need the standard library only. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
python3 -m compileall -q review/harness2 review/6 review/7 review/8 review/9 review/10 || exit 2
PYTHONPATH=review/harness2 python3 -c 'import rig, store, wire'
