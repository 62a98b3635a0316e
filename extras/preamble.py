"""Replaces the process that unpacked the file by the program in the same process.

Unpacking imports modules that make locks. Eventlet can only make all locks green
in an interpreter that has not done so. No child process is started.
"""

import os
import sys

START = (
    "import sys; sys.path.insert(0, sys.argv.pop(1)); "
    "import corianderrill.__main__ as process; sys.exit(process.main())"
)

# The unpacking runtime sets this name.
packages = str(globals()["site_packages"])
interpreter = [sys.executable, "-I", "-S", "-c", START]
os.execv(sys.executable, [*interpreter, packages, *sys.argv[1:]])
