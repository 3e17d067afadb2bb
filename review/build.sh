#!/bin/sh
# Prepares the stand-ins that the scripts start. They are the project's own (src/swifttrestle_standins) and
# small ones in the scripts themselves, all in Python, with the libraries that the deploy file's build has put
# into target/deps: nothing is compiled or fetched, so this only checks that all of them can be imported.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=src:target/deps python3 -c \
    "import swifttrestle_standins.hosted.site, swifttrestle_standins.hosted.upstreams"
for script in review/[123]/*.py; do
    [ -e "$script" ] && python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$script"
done
echo "stand-ins are ready"
