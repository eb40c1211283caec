#!/usr/bin/env bash
# Builds what the scripts of the second review start: after the build of the deploy file,
# it checks that the stand-ins compile and that what they import is there.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
for file in review/stand.py review/stand_2.py review/{6,7,8,9}/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
python3 -m standins.kv --help > target/build-2.txt
python3 review/stand_2.py replica --help >> target/build-2.txt
