#!/usr/bin/env bash
# Starts an example deployment as processes on this machine, sends a short load,
# and stops all processes that it started.
#
# Usage: examples/deployments/run.sh (coop|auction) [seconds]
set -eu
cd "$(dirname "$0")/../.."
trade=${1:?coop or auction}
seconds=${2:-5}
folder=examples/deployments/$trade
program=${NICKELLEAD:-target/release/nickellead}
logs=$(mktemp -d)
started=()
stop() {
  for process in "${started[@]}"; do kill -TERM "$process" 2>/dev/null || true; done
  for process in "${started[@]}"; do wait "$process" 2>/dev/null || true; done
  echo "logs of the processes: $logs"
}
trap stop EXIT
start() { local log=$1; shift; "$program" "$@" >"$logs/$log.log" 2>&1 & started+=("$!"); }

port=$(sed -n 's/.*"platform_address": "127.0.0.1:\([0-9]*\)".*/\1/p' "$folder/vms/vm-0.json")
start platform standin platform --listen "127.0.0.1:$port" --vms "$folder/vms.json"
while read -r name address slots service_us; do
  start "target-$name" standin target --name "$name" --listen "$address" \
    --slots "$slots" --service-us "$service_us"
done <"$folder/targets.txt"
for settings in "$folder"/vms/*.json; do
  start "$(basename "$settings" .json)" run --settings "$settings"
done
operators=127.0.0.1:$((port + 100))
for _ in $(seq 100); do
  "$program" apply --vm "$operators" -f "$folder/declared" >"$logs/apply.log" 2>&1 && break
  sleep 0.1
done
tail -n 1 "$logs/apply.log"
entries=()
for settings in "$folder"/vms/*.json; do
  vm=$(sed -n 's/.*"operators_address": "\(.*\)".*/\1/p' "$settings")
  for _ in $(seq 100); do
    "$program" get status --vm "$vm" 2>/dev/null | grep -q '"ready": true' && break
    sleep 0.1
  done
  entries+=(--entry "$(sed -n 's/.*"callers_address": "\(.*\)".*/\1/p' "$settings")")
done
while read -r service operation method; do
  echo "$service: $("$program" standin load "${entries[@]}" --service "$service" \
    --operation "$operation" --method "$method" --seconds "$seconds")"
done < <(if [ "$trade" = coop ]; then
  printf '%s\n' 'slots lookup GET' 'booking book POST' 'deposits charge POST' 'reminders lookup GET'
else
  printf '%s\n' 'catalogue lot GET' 'landings register POST' 'settlement settle POST' 'archive prices GET'
fi)
