#!/usr/bin/env bash
# Checks one model: check.sh MODEL pass|fail [-DNAME ...]. With "pass" the
# search must be complete and free of errors; with "fail", for a mutant, it must
# find an error.
set -euo pipefail
model=$(realpath "$1")
expected=$2
shift 2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cd "$dir"
spin "$@" -a "$model" >/dev/null
gcc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=3000 -w -o pan pan.c
./pan -m200000 -E >out.txt || true
grep -E "errors:|states, stored|out of memory|max search depth" out.txt
grep -q "errors: 0" out.txt && found=pass || found=fail
if grep -qE "out of memory|too small|Search not completed" out.txt &&
  [ "$found" = pass ]; then
  echo "the search is not complete"
  exit 1
fi
echo "$(basename "$model") $*: expected $expected, found $found"
[ "$found" = "$expected" ]
