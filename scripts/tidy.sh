#!/usr/bin/env bash
# Lints one file: tidy.sh BUILD FILE. clang-tidy 16 crashes on some files, mostly
# in its analysis of optionals, whose solver also runs for ever now and then.
# Neither is a verdict, so the file is linted again, at last without that one
# check, which is said; a third crash fails.
set -u
limit_s=600
for checks in "" "" "-bugprone-unchecked-optional-access"; do
  [ -n "$checks" ] && echo "$2: linted with $checks after two crashes"
  timeout -s KILL "$limit_s" clang-tidy-16 -p "$1" --quiet ${checks:+"--checks=$checks"} "$2"
  status=$?
  [ "$status" -lt 128 ] && exit "$((status != 0))"
done
echo "$2: the linter crashed three times" >&2
exit 1
