"""A fault soak of the gateway: real processes, faults and checks from outside.

`records` says what was seen, `faults` what happens and when, `links` and `servers`
stand between and behind the gateways, `callers` ask, `rig` runs the processes and
`checks` judges. `python -m benchmarks.gateways --seed N --seconds S` runs it.
"""
