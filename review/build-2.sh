#!/bin/sh
# Build the stand-ins of cases 6 to 10. They are Python and need no library; this checks
# that the interpreter of the deploy file reads each of them, and writes nothing.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 - review/standins2/*.py review/6/*.py \
    review/7/*.py review/8/*.py review/9/*.py review/10/*.py <<'CHECK'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for name in sys.argv[1:]:
    compile(Path(name).read_text(), name, "exec")
CHECK
