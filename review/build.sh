#!/usr/bin/env bash
# The stand-ins are Python without dependencies: checks that they compile and that the programs are there.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/platform_standin.py review/*/case.py platform/tests/node_fleet.py platform/tests/store_standin.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
test -x target/bin/lentilhead-node
