#!/usr/bin/env bash
# Fails if a name of the users' platform stands outside its adapter.
set -u
cd "$(dirname "$0")/.."
names='X-Mangohold-|/mangohold/(kv|order|picked|report|resolve|readyz)'
names+='|kv-(txn|watch|range|key|lease|keep)|op/(config|evacuate)|allow_stale'
found=$(git grep -nE "$names" -- src bench)
[ -z "$found" ] && exit 0
echo "names of the platform outside platform/:" >&2
echo "$found" >&2
exit 1
