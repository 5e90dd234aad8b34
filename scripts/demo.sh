#!/usr/bin/env bash
# Runs the listing deployment with stand-ins for the platform and the backend
# servers, sends requests through it, and shows what the processes counted.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
site=conf/naidu
source scripts/processes.sh

echo "== starting 1 platform stand-in, 15 backend stand-ins, 15 agents, 6 entries"
run platform "$build/platform_standin" --listen 127.1.0.1:7000 \
  --instances $site/instances.json
for n in $(seq 1 12); do
  run "engine-$n" "$build/engine_standin" --listen "127.1.2.$n:8000"
done
for n in 13 14 15; do
  run "service-$n" "$build/service_standin" --listen "127.1.2.$n:8000"
done
for file in $site/agents/*.jsonc; do
  run "agent-$(basename "$file" .jsonc)" "$build/mangohold-agent" --config "$file"
done
for file in $site/entries/*.jsonc; do
  run "entry-$(basename "$file" .jsonc)" "$build/mangohold-entry" --config "$file"
done

ctl="$build/mangoholdctl --operator 127.1.1.1:8081 --entry 127.1.1.1:8080,127.1.1.2:8080"
export MANGOHOLD_TOKEN=example-lead
echo "== an operator brings in the settings tree"
until_done() {
  for _ in $(seq 1 100); do
    "$@" >/dev/null 2>&1 && return
    sleep 0.1
  done
  echo "gave up on: $*" >&2
  exit 1
}
until_done $ctl import $site/tree
until_done $ctl --workspace head-office --path /v1/generate \
  --data '{"tokens": 1}' --repeatable --deadline-ms 500 call listing-assistant
until_done $ctl --workspace head-office --path /listings --method GET \
  --repeatable --deadline-ms 500 call bookings
echo "== the addresses that callers may use"
$ctl entries
echo "== a draft, streamed: caller -> entry -> agent -> engine"
$ctl --workspace suva-sales --path /v1/generate --repeatable \
  --data '{"prompt": "Three bedrooms above the harbour", "tokens": 5}' \
  call listing-assistant
echo "== a viewing, booked under a single-use ticket"
$ctl --workspace suva-sales --path /viewings \
  --data '{"house": 17, "family": "Naidu"}' call bookings
echo "== what the six entries counted together"
$ctl --entry "$(seq -s, -f '127.1.1.%g:8080' 6)" metrics |
  grep -E '^mangohold_(requests|outcomes|refusals|retries|tickets|peer_connects)' |
  awk '{ sum[$1] += $2 } END { for (name in sum) print name, sum[name] }' | sort
