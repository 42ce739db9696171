# Functions to run a set of processes from a directory that `stand layout`
# wrote. Sourced by the other scripts. Each process is restarted when it ends,
# until the set stops; its present process id stands in $SET_DIR/pids/NAME.

SET_BIN=${SET_BIN:-bin}

# run_process NAME PROGRAM ARGS... keeps one process running.
run_process() {
  local name=$1 program=$2 again=""
  shift 2
  trap 'kill "$child" 2>/dev/null; wait "$child" 2>/dev/null; exit 0' TERM
  while :; do
    "$SET_BIN/$program" "$@" $again >>"$SET_DIR/logs/$name" 2>&1 &
    child=$!
    echo "$child" >"$SET_DIR/pids/$name"
    wait "$child"
    [ -e "$SET_DIR/stop" ] && return 0
    [ "$1" = endpoint ] && again="--rejoin"
    sleep 0.3
  done
}

# start_set starts every process of the list.
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

# put_document AUTHOR puts the set's document in force, as soon as the platform
# answers.
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

# stop_set wakes what was paused and ends every process: the proxies first, as
# they tell the platform that they leave.
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
