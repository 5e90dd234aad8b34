# Sourced by scripts that run the programs: `run NAME COMMAND …` starts one in the
# background, with its standard error in $logs/NAME.log; all end with the script.
logs=$(mktemp -d)
pids=()
finish() {
  kill -9 "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$logs"
}
trap finish EXIT
run() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}
