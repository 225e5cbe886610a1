#!/usr/bin/env bash
# Real processes in a storm: the holder is frozen past its lease and woken, another entry is killed, a third is stopped.
set -euo pipefail
cd "$(dirname "$0")/.."
. utils/processes.sh

start platform node packages/standins/dist/bin/platform.js --port 7600 --lag-ms 0
start backend node packages/standins/dist/bin/backend.js --service orders --zone a --count 4 --slots 2 --cold 1 --mean-ms 8
backend_pid="${pids[-1]}"
await_line "$work/platform.out"
await_line "$work/backend.out"
node "$lab/prepare.js" --platform http://127.0.0.1:7600 --servers "$work/backend.out" --slots 2 --cold 1 --orders
entry_pids=()
for index in 0 1 2 3; do
  cat >"$work/entry-$index.yaml" <<YAML
instance: entry-$index
zone: a
region: r
callers: { port: $((7610 + 2 * index)) }
peers: { port: $((7611 + 2 * index)) }
platform: { url: "http://127.0.0.1:7600" }
YAML
  start "entry-$index" node packages/entry/dist/bin/entry.js --settings "$work/entry-$index.yaml"
  entry_pids+=("${pids[-1]}")
done
sleep 6

holder () {
  local index
  for index in 0 1 2 3; do
    if node "$lab/holds.js" "$((7610 + 2 * index))"; then echo "$index"; return; fi
  done
}

node "$lab/storm.js" --told "$work/told.json" --ports 7610,7612,7614,7616 --seconds 32 --seed "${1:-1}" &
storm_pid="$!"
sleep 4
first="$(holder)"
echo "entry-$first holds the servers and is frozen for 9 s"
kill -STOP "${entry_pids[$first]}"
sleep 9
kill -CONT "${entry_pids[$first]}"
echo "entry-$first wakes"
sleep 5
second="$(holder)"
echo "entry-$second holds the servers and is killed"
kill -KILL "${entry_pids[$second]}"
sleep 9
third="$(holder)"
echo "entry-$third holds the servers and is stopped as planned"
kill -TERM "${entry_pids[$third]}"
wait "$storm_pid"
kill -TERM "$backend_pid"
sleep 1
node "$lab/storm.js" --told "$work/told.json" --truth "$work/backend.err"
