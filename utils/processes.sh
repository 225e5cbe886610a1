# Functions that start and stop the processes that a script measures. Source this file; it sets `work`, `pids` and `lab`.
lab=packages/laboratory/dist/bin
work="$(mktemp -d)"
pids=()

finish () {
  for pid in "${pids[@]:-}"; do
    if [ -n "$pid" ]; then kill -KILL "$pid" 2>/dev/null || true; fi
  done
  rm -rf "$work"
}
trap finish EXIT

start () { # name, command...
  local name="$1"
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=("$!")
}

await_line () { # file
  for _ in $(seq 100); do
    if [ -s "$1" ]; then return; fi
    sleep 0.1
  done
  echo "no output in $1 within 10 s" >&2
  exit 1
}
