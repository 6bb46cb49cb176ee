#!/usr/bin/env bash
# Runs whole processes under steady load and takes them away from a seed: VMs
# killed, frozen, stopped and started again, upstreams killed, the platform
# down, slow and gone. Then checks the recorded history against the rules.
#   scripts/faults.sh [SEED [SECONDS]]
. "$(dirname "$0")/common.sh"
seed=${1:-1}
length=${2:-60}
trap 'stop_all; rm -rf "$dir"' EXIT
RANDOM=$seed
build
SECONDS=0
plan 7 2 "${PORT:-}" "$seed"
for i in 1 2 3 4 5 6 7; do start_vm "$i"; done
ready 1 2 3 4 5 6 7
say "seed $seed, $length s: $(wc -l <"$dir/upstreams") upstreams, 7 VMs ready"

load="--load portal-01:urgent:40 --load tablet-01:routine:40 --load certificate:routine:60 --load billing:bulk:30 --load certificate:once:30"
"$bin/arbutusctl" $(callers 1 2 3 4 5 6 7) trial $load --seed "$seed" --duration "${length}s" --label faults --history "$dir/history.jsonl" >"$dir/trial.out" 2>&1 &
trial=$!

version=0
patch() {
  local i=$1
  echo "{\"services\": {\"portal-01\": {\"least-coverage\": 0.$(( 1 + RANDOM % 8 ))}}}" >"$dir/patch.json"
  if "$bin/arbutusctl" $(callers "$i") config patch --base "$version" "$dir/patch.json" >"$dir/patch.out" 2>&1; then
    version=$(( version + 1 ))
  else
    say "  patch at vm-$i: $(tail -1 "$dir/patch.out")"
    version=$("$bin/arbutusctl" $(callers 1 2 3 4 5 6 7) config get | sed -n 's/^\/\/ version //p')
  fi
}

mapfile -t upstreams <"$dir/upstreams"
while [ "$SECONDS" -lt $(( length - 6 )) ]; do
  i=$(( 1 + RANDOM % 7 ))
  u=${upstreams[$(( RANDOM % ${#upstreams[@]} ))]}
  case $(( RANDOM % 8 )) in
    0) say "kill vm-$i"; stop KILL "vm-$i"; gone "vm-$i" || true; sleep 1; start_vm "$i" ;;
    1) say "freeze vm-$i for 2 s"; stop STOP "vm-$i"; sleep 2; stop CONT "vm-$i" ;;
    2) say "stop vm-$i"; stop TERM "vm-$i"; gone "vm-$i" || { say "vm-$i did not stop cleanly"; exit 1; }; start_vm "$i" ;;
    3) say "kill $u"; stop KILL "$u"; gone "$u" || true; sleep 1; start_upstream "$u" ;;
    4) say "freeze $u for 2 s"; stop STOP "$u"; sleep 2; stop CONT "$u" ;;
    5) say "platform down for 3 s"; faults '{"down": true}'; sleep 1; patch "$i"; sleep 2; faults '{}' ;;
    6) say "platform slow, replies lost"; faults '{"delay-ns": 300000000, "lose-after": 2}'; sleep 1; patch "$i"; sleep 1; faults '{}' ;;
    7) say "patch at vm-$i"; patch "$i" ;;
  esac
  sleep 1
done
wait "$trial" || true
cat "$dir/trial.out"
for _ in $(seq 50); do "$bin/arbutusctl" $(callers 1 2 3 4 5 6 7) config status >"$dir/status" 2>&1 && break; sleep 0.2; done
head -1 "$dir/status"
"$bin/arbutusctl" $(callers 1 2 3 4 5 6 7) verify --cuts-allowed --events --runs "$dir/runs.jsonl" --history "$dir/history.jsonl"
say "done"
