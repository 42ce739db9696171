#!/usr/bin/env bash
# Runs instances on the emulated users' platform, injects faults and checks what
# the callers see. Without a seed, a primary crashes and the store is unavailable
# for 4 s; with one, the faults are random. Stops all processes when it ends. If
# SOAK_KEEP is set to a directory, the logs are copied there.
# Further arguments are passed on to `stand lines`.
# Usage: lines.sh [DURATION] [INSTANCES] [SEED] [NETWORK] [FLAG...]
set -u
cd "$(dirname "$0")/.."
duration=${1:-20s} instances=${2:-3} seed=${3:-} network=${4:-1}
SET_DIR=$(mktemp -d)
export SET_DIR
. scripts/set.sh

trap finish_soak EXIT
trap 'exit 130' INT TERM

faults=(--fault 8s:crash:g1-a --fault 12s:restart:g1-a --fault 10s:storedown --fault 14s:storeup)
[ -n "$seed" ] && faults=(--seed "$seed" --faults "$seed" --changes)
mkdir -p "$SET_DIR/logs" "$SET_DIR/pids"
"$SET_BIN/stand" lines --dir "$SET_DIR" --duration "$duration" --instances "$instances" --network "$network" "${faults[@]}" "${@:5}" &
tool=$!
SET_PROXIES="" SET_OTHERS=$tool
for n in $(seq "$instances"); do
  while [ ! -s "$SET_DIR/n$n.json" ]; do
    kill -0 "$tool" 2>/dev/null || exit 1
    sleep 0.1
  done
  run_process "n$n" marjoramrudder platform --config "$SET_DIR/n$n.json" &
  SET_PROXIES="$SET_PROXIES $!"
done
wait "$tool"
status=$?
if grep -l -E '^(panic|fatal error): ' "$SET_DIR"/logs/*; then
  echo "an instance crashed" >&2
  status=1
fi
exit "$status"
