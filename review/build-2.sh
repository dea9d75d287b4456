#!/bin/sh
# Prepare the stand-ins of the cases 6 to 10.  They are plain Python on what the
# deploy file has built; this compiles and imports them.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 1
PYTHONPATH="$root:$root/target/deps" exec python3 -c '
import bench.documents
import bench.endpoints.callers
import bench.endpoints.upstreams
import bench.store
import review.stand_ins_2.scenario
'
