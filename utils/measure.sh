#!/usr/bin/env bash
# Starts the processes that a measurement needs, runs the measurement, and stops the processes.
set -euo pipefail
cd "$(dirname "$0")/.."
what="${1:-placing}"
. utils/processes.sh

# Measures the CPU time and memory of idle entries: at start-up, then over 10 s.
idle () { # entries
  local index seeds=""
  start store node packages/standins/dist/bin/store.js --port 7000
  await_line "$work/store.out"
  for ((index = 0; index < $1; index++)); do
    if [ "$index" -lt 3 ]; then seeds="$seeds${seeds:+, }\"127.0.0.1:$((7301 + 2 * index))\""; fi
  done
  for ((index = 0; index < $1; index++)); do
    cat >"$work/entry-$index.yaml" <<YAML
instance: entry-$index
zone: zone-$((index % 3))
callers: { address: "127.0.0.1:$((7300 + 2 * index))" }
peers: { address: "127.0.0.1:$((7301 + 2 * index))", seeds: [$seeds] }
store: { url: "$(cat "$work/store.out")" }
YAML
    start "entry-$index" node --max-semi-space-size=1 --max-old-space-size=160 ${ENTRY:-packages/entry/dist/bin/entry.js} \
      --settings "$work/entry-$index.yaml"
  done
  sleep 8
  node "$lab/idle.js" --seconds 10 --pids "$(IFS=,; echo "${pids[*]:1}")"
}

case "$what" in
  idle)
    idle "${2:-20}"
    ;;
  *)
    node "$lab/measure.js" "$what" "${@:2}"
    ;;
esac
