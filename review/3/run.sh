#!/usr/bin/env bash
# Case 3. With TROUBLE=0 the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standins/run.sh" 3
