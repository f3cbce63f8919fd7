#!/bin/sh
# The stand-ins are Python programs of the standard library: nothing is compiled. This checks that they can be read.
cd "$(dirname "$0")" || exit 1
for it in standins/standins.py 1/case.py 2/case.py 3/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it" || exit 1
done
