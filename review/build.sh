#!/usr/bin/env bash
# Builds the stand-ins of all cases: they need only Python and its standard
# library, so this only checks that each of them can be loaded.
set -eu
cd "$(dirname "$0")/stand_ins"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import world'
