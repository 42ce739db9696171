#!/usr/bin/env bash
# Plays the case epoch-after-drill and writes record.txt. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/stand ] && [ -x target/marjoramrudder ] || exit 2
exec target/review/stand epoch-after-drill "$folder"
