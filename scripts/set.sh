# Functions to run the processes of a deployment from a directory written by
# `stand layout`. Sourced by the other scripts. A process that ends is restarted
# until the deployment is stopped. Its process id is in $SET_DIR/pids/NAME.

SET_BIN=${SET_BIN:-bin}
SET_PROXIES="" SET_OTHERS="" # process ids of the supervisors

# run_process NAME PROGRAM ARGS... runs one process and restarts it when it
# ends. Endpoints are restarted with --rejoin.
run_process() {
  local name=$1 program=$2 rejoin=""
  shift 2
  trap 'kill "$child" 2>/dev/null; wait "$child" 2>/dev/null; exit 0' TERM
  while :; do
    "$SET_BIN/$program" "$@" $rejoin >>"$SET_DIR/logs/$name" 2>&1 &
    child=$!
    echo "$child" >"$SET_DIR/pids/$name"
    wait "$child"
    [ -e "$SET_DIR/stop" ] && return 0
    [ "$1" = endpoint ] && rejoin="--rejoin"
    sleep 0.3
  done
}

# start_set starts the processes listed in $SET_DIR/processes.
start_set() {
  mkdir -p "$SET_DIR/logs" "$SET_DIR/pids"
  SET_PROXIES="" SET_OTHERS=""
  while IFS=$'\t' read -r -a line; do
    run_process "${line[@]}" &
    case ${line[1]} in
      marjoramrudder) SET_PROXIES="$SET_PROXIES $!" ;;
      *) SET_OTHERS="$SET_OTHERS $!" ;;
    esac
  done <"$SET_DIR/processes"
}

# put_document AUTHOR puts the deployment's document in force. It retries until
# the platform responds.
put_document() {
  local status=1
  for _ in $(seq 100); do
    "$SET_BIN/marjoramrudder" env put --settings "$SET_DIR/proxy-1.toml" --unannounced --author "$1" \
      "$SET_DIR/document.toml" >"$SET_DIR/put" 2>&1
    status=$?
    [ $status = 0 ] && break
    sleep 0.1
  done
  tail -n 1 "$SET_DIR/put"
  return $status
}

# stop_set resumes paused processes and stops all of them. The proxies stop
# first, because they report their departure to the platform.
stop_set() {
  touch "$SET_DIR/stop"
  local file
  for file in "$SET_DIR"/pids/*; do
    [ -e "$file" ] && kill -CONT "$(cat "$file")" 2>/dev/null
  done
  # shellcheck disable=SC2086
  {
    kill -TERM $SET_PROXIES 2>/dev/null
    wait $SET_PROXIES 2>/dev/null
    kill -TERM $SET_OTHERS 2>/dev/null
    wait $SET_OTHERS 2>/dev/null
  }
}

# finish_soak ends a soak run with the present status. If SOAK_KEEP is set to a
# directory, the report and the logs are copied there.
finish_soak() {
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
