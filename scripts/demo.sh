#!/usr/bin/env bash
# Starts the emulated platform, three groups of three endpoints and three
# proxies, puts a document in force, runs callers, kills a primary and reports.
# The exit status is that of the checks. Stops all processes when it ends.
set -u
cd "$(dirname "$0")/.."
SET_DIR=$(mktemp -d)
export SET_DIR
. scripts/set.sh
trap 'stop_set; rm -rf "$SET_DIR"' EXIT

bin/stand layout --profile demo --dir "$SET_DIR" || exit 1
start_set
settings=$SET_DIR/proxy-1.toml
put_document demo || exit 1
sleep 2 # wait until the instances' parts of the quotas are filled

bin/stand load --dir "$SET_DIR" --duration 20s --share 0.6 --json "$SET_DIR/report.json" >"$SET_DIR/load" 2>&1 &
load=$!
sleep 8
echo "killing the primary of group orders"
kill -KILL "$(cat "$SET_DIR/pids/orders-1")"
wait "$load"
status=$?
cat "$SET_DIR/load"
echo
echo "timeline of the failover:"
bin/marjoramrudder timeline --settings "$settings" | grep -E 'Primary|Seal|Promot' | head -n 20
bin/stand measures --dir "$SET_DIR" --report "$SET_DIR/report.json" || status=1
exit $status
