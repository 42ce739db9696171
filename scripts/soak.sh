#!/usr/bin/env bash
# Runs random faults against a set of processes: soak.sh SEED DURATION [PROFILE].
# Ends with the exit status of the checks and leaves no process behind. With
# SOAK_KEEP=DIR the report and the logs are kept in DIR.
set -u
cd "$(dirname "$0")/.."
seed=${1:-1} duration=${2:-60s} profile=${3:-demo}
SET_DIR=$(mktemp -d)
export SET_DIR
. scripts/set.sh

finish() {
  local status=$?
  trap - EXIT INT TERM
  stop_set
  if [ -n "${SOAK_KEEP:-}" ]; then
    mkdir -p "$SOAK_KEEP"
    cp -r "$SET_DIR/logs" "$SET_DIR/report.json" "$SOAK_KEEP" 2>/dev/null
  fi
  rm -rf "$SET_DIR"
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

bin/stand layout --profile "$profile" --dir "$SET_DIR" || exit 1
start_set
put_document soak || exit 1
sleep 2 # the parts of the quotas fill up
bin/stand soak --dir "$SET_DIR" --seed "$seed" --duration "$duration" --json "$SET_DIR/report.json"
