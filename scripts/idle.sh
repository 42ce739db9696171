#!/usr/bin/env bash
# Starts a deployment, leaves it idle and prints the resource usage of each
# proxy: CPU share of one core, resident memory, probes and failed probes.
# Stops all processes when it ends.
# Usage: idle.sh [PROXIES] [PROFILE]
set -u
cd "$(dirname "$0")/.."
SET_DIR=$(mktemp -d)
export SET_DIR
. scripts/set.sh
trap 'stop_set; rm -rf "$SET_DIR"' EXIT

bin/stand layout --profile "${2:-carbonella}" --proxies "${1:-8}" --dir "$SET_DIR" || exit 1
start_set
settings=$SET_DIR/proxy-1.toml
put_document idle || exit 1
sleep 20

# metric SETTINGS NAME prints the sum of a metric's series at one proxy.
metric() {
  local address
  address=$(sed -n "s/^Admin = ['\"]\(.*\)['\"]/\1/p" "$1")
  curl -s "http://$address/metrics" | awk -v m="$2" 'index($1, m) == 1 { s += $2 } END { print s + 0 }'
}

window=20
declare -A cpu probes failed
for s in "$SET_DIR"/proxy-*.toml; do
  cpu[$s]=$(metric "$s" process_cpu_seconds_total)
  probes[$s]=$(metric "$s" marjoram_group_probes_total)
  failed[$s]=$(metric "$s" marjoram_group_probes_failed_total)
done
sleep "$window"
for s in "$SET_DIR"/proxy-*.toml; do
  echo "$(basename "$s" .toml) $(metric "$s" process_cpu_seconds_total) ${cpu[$s]} $(metric "$s" process_resident_memory_bytes)" \
    "$(metric "$s" marjoram_group_probes_total) ${probes[$s]} $(metric "$s" marjoram_group_probes_failed_total) ${failed[$s]}"
done | awk -v w="$window" '{ printf "%s: core %.2f %%, resident %.1f MB, probes %.1f/s, failed %.1f/s\n", $1, 100*($2-$3)/w, $4/1e6, ($5-$6)/w, ($7-$8)/w }'
