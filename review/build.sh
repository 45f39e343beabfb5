#!/usr/bin/env bash
# Builds what the scripts start besides the hosts: the stand-ins are Python programs of the
# standard library, which are only compiled here to show that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
