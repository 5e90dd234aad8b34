#!/usr/bin/env bash
# run.sh CASE: runs the driver of a case for 110 s at most, with settings and
# logs in a temporary folder. The processes that it started end with it.
set -u
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "target/review/review-$1" "$folder" "review/$1/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
tail -n 3 "$folder"/*.log >&2
exit 2
