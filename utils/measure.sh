#!/usr/bin/env bash
# Starts the processes that a measurement needs, runs it, and ends them again.
set -euo pipefail
cd "$(dirname "$0")/.."
what="${1:-decisions}"
lab=packages/laboratory/dist/bin
work="$(mktemp -d)"
pids=()
finish () {
  for pid in "${pids[@]:-}"; do
    if [ -n "$pid" ]; then kill "$pid" 2>/dev/null || true; fi
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
  echo "nothing came from $1" >&2
  exit 1
}

case "$what" in
  path)
    start platform node packages/standins/dist/bin/platform.js --port 7000 --lag-ms 0
    start backend node packages/standins/dist/bin/backend.js --service echo --zone a --slots 200 --cold 200 --mean-ms 1 --warm-after 0
    await_line "$work/platform.out"
    await_line "$work/backend.out"
    node "$lab/prepare.js" --platform http://127.0.0.1:7000 --servers "$work/backend.out"
    backend_port="$(node -p 'JSON.parse(require("fs").readFileSync(process.argv[1], "utf8"))[0].port' "$work/backend.out")"
    start bare node "$lab/passThrough.js" --backend "$backend_port" --port 7100
    bare_pid="${pids[-1]}"
    cat >"$work/entry.yaml" <<YAML
instance: measured
zone: a
region: r
callers: { port: 7200 }
peers: { port: 7201 }
platform: { url: "http://127.0.0.1:7000" }
YAML
    start entry node packages/entry/dist/bin/entry.js --settings "$work/entry.yaml"
    entry_pid="${pids[-1]}"
    sleep 3
    PLATFORM_URL=http://127.0.0.1:7000 node "$lab/measure.js" path --backend "http://127.0.0.1:$backend_port" \
      --bare http://127.0.0.1:7100 --bare-pid "$bare_pid" --entry http://127.0.0.1:7200 --entry-pid "$entry_pid" "${@:2}"
    ;;
  capacity)
    node "$lab/measure.js" capacity "${@:2}"
    ;;
  *)
    node "$lab/measure.js" "$@"
    ;;
esac
