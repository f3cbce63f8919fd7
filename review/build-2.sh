#!/bin/sh
# Builds the stand-ins of the cases 4 to 8. They are Python of the standard library,
# so that there is nothing to compile: checks that they can be read.
cd "$(dirname "$0")" || exit 2
for it in standins-2/*.py [4-8]/*.py; do
  [ ! -f "$it" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$it" || exit 1
done
echo "stand-ins ready"
