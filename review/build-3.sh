#!/usr/bin/env bash
# Build what the scripts of cases 11 to 14 start, beside the instances, which
# the build of the deploy file makes: the stand-ins, in the standard library.
set -eu
cd "$(dirname "$0")/stand_ins_3"
python3 -m compileall -q .
