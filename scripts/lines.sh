#!/bin/sh
# Runs instances on the emulated users' platform, crashes a primary, makes the
# store unavailable for 4 s and reports the results of the callers.
# Usage: lines.sh [DURATION] [INSTANCES]
set -eu
cd "$(dirname "$0")/.."
duration=${1:-20s}
instances=${2:-3}
dir=$(mktemp -d)
pids=
stop() {
	for p in $pids; do kill -TERM "$p" 2>/dev/null || true; done
	for p in $pids; do wait "$p" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap stop EXIT INT TERM

./bin/stand lines --dir "$dir" --duration "$duration" --instances "$instances" \
	--fault 8s:crash:g1-a --fault 12s:restart:g1-a --fault 10s:storedown --fault 14s:storeup &
tool=$!
n=1
while [ "$n" -le "$instances" ]; do
	while [ ! -s "$dir/n$n.json" ]; do
		kill -0 "$tool"
		sleep 0.1
	done
	./bin/marjoramrudder platform --config "$dir/n$n.json" >"$dir/n$n.log" &
	pids="$pids $!"
	n=$((n + 1))
done
wait "$tool"
