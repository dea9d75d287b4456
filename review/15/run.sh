#!/usr/bin/env bash
# Exit with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case
# could not run.  TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
exec python3 "$folder/../stand_ins_3/stuttering_reader.py" "$folder"
