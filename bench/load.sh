#!/usr/bin/env bash
# Latency added by entry and agent: an echo engine behind the system against
# the same engine asked directly, in one run. Prints JSON lines.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
rate=${RATE:-1000}
seconds=${SECONDS_PER_ROUND:-3}
source scripts/processes.sh
dir=$logs
host=127.3.0.1
cat >"$dir/instances.json" <<JSON
[{"id": "entry", "role": "entry", "state": "live", "zone": "suva",
  "caller": "$host:8080", "control": "$host:8082"},
 {"id": "backend", "role": "backend", "state": "live", "zone": "suva",
  "service": "drafts", "peer": "$host:7070"}]
JSON
cat >"$dir/entry.json" <<JSON
{"instance": "entry", "zone": "suva", "caller_address": "$host:8080",
 "operator_address": "$host:8081", "control_address": "$host:8082", "platform_url": "http://$host:7000",
 "log_level": "warning",
 "operators": [{"name": "lead", "token": "lead", "subtree": "/"}]}
JSON
cat >"$dir/agent.json" <<JSON
{"instance": "backend", "zone": "suva", "service": "drafts",
 "peer_address": "$host:7070", "admin_address": "$host:7071",
 "backend_url": "http://$host:8000", "platform_url": "http://$host:7000",
 "log_level": "warning"}
JSON
mkdir -p "$dir/tree/services" "$dir/tree/workspaces"
cat >"$dir/tree/services/drafts.json" <<JSON
{"kind": "model", "concurrency_limit": 512,
 "queue_limit": 1024, "cold_start": {"initial_limit": 512},
 "repeatable_calls": [{"method": "POST", "path_prefix": "/v1"}]}
JSON
echo '{"max_in_flight": 100000}' >"$dir/tree/workspaces/sales.json"
echo '{"expected_entries": 1}' >"$dir/tree/fleet.json"

run platform "$build/platform_standin" --listen "$host:7000" --instances "$dir/instances.json"
run engine "$build/engine_standin" --listen "$host:8000"
run agent "$build/mangohold-agent" -c "$dir/agent.json"
run entry "$build/mangohold-entry" -c "$dir/entry.json"
entry=${pids[-1]}
ctl="$build/mangoholdctl -o $host:8081 -e $host:8080 -t lead"
for _ in $(seq 1 100); do
  $ctl import "$dir/tree" >/dev/null 2>&1 && break
  sleep 0.1
done
sleep 1.5
awk '/VmRSS/ {printf "{\"idle_entry_rss_mb\": %.1f}\n", $2 / 1024}' "/proc/$entry/status"
"$build/bench/load_tool" --rate "$rate" --seconds "$seconds" --rounds 3 \
  --direct "http://$host:8000/v1/echo" \
  --through "http://$host:8080/v1/services/drafts/v1/echo"
