"""Measures of the system from outside: processes, load, faults and checks."""

import warnings

# As in `corianderrill.__main__`: the note to new projects tells a user nothing.
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
