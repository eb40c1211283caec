#!/bin/sh
# The stand-ins are Python and need nothing but its standard library, so building them
# is to compile them.
cd "$(dirname "$0")" && exec python3 - stand.py [1-9]/*.py <<'END'
import sys

for name in sys.argv[1:]:
    with open(name, encoding='utf-8') as file:
        compile(file.read(), name, 'exec')
END
