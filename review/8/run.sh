#!/bin/sh
# Play the case; see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root:$root/target/deps" exec python3 "$here/case.py"
