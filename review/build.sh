#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be run. They are written in Python with its standard library alone, so nothing has to
# be compiled; the hosts are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import glob, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or newer is needed")
for path in glob.glob("standin/*.py") + glob.glob("[0-9]/*.py"):
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
if [ ! -x ../target/release/lentilyoke-host ]; then
  echo "target/release/lentilyoke-host is missing: build it as deploy/system.toml says" >&2
  exit 1
fi
