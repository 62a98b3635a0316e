#!/bin/sh
# Exits with 1 if requests were lost, 0 if not, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
exec env TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 \
    python3 "$(dirname "$0")/case.py"
