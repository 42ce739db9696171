#!/usr/bin/env bash
# Injects random faults into a deployment. The exit status is that of the
# checks. Stops all processes when it ends. If SOAK_KEEP is set to a directory,
# the report and the logs are copied there.
# Usage: soak.sh [SEED] [DURATION] [PROFILE]
set -u
cd "$(dirname "$0")/.."
seed=${1:-1} duration=${2:-60s} profile=${3:-demo}
SET_DIR=$(mktemp -d)
export SET_DIR
. scripts/set.sh

trap finish_soak EXIT
trap 'exit 130' INT TERM

"$SET_BIN/stand" layout --profile "$profile" --dir "$SET_DIR" || exit 1
start_set
put_document soak || exit 1
sleep 2 # wait until the instances' parts of the quotas are filled
"$SET_BIN/stand" soak --dir "$SET_DIR" --seed "$seed" --duration "$duration" --json "$SET_DIR/report.json"
