#!/usr/bin/env bash
# Runs separate processes under steady load and injects the random faults of a
# seed: VMs are killed, frozen, and stopped and restarted, upstreams are killed
# and frozen, and the platform is down, slow or loses replies. Then checks the
# recorded history against the rules.
#   scripts/faults.sh [SEED [SECONDS]]
. "$(dirname "$0")/common.sh"
seed=${1:-1}
length=${2:-60}
trap 'stop_all; rm -rf "$dir"' EXIT
RANDOM=$seed
build
SECONDS=0
start_fleet 7 2 "${PORT:-}" "$seed"
for i in 1 2 3 4 5 6 7; do start_vm "$i"; done
wait_ready 1 2 3 4 5 6 7
log "seed $seed, $length s: $(wc -l <"$dir/upstreams") upstreams, 7 VMs ready"

load="--load portal-01:urgent:40 --load tablet-01:routine:40 --load certificate:routine:60 --load billing:bulk:30 --load certificate:once:30"
"$bin/arbutusctl" $(vm_flags 1 2 3 4 5 6 7) trial $load --seed "$seed" --duration "${length}s" --label faults --history "$dir/history.jsonl" >"$dir/trial.out" 2>&1 &
trial=$!

version=0
# patch NUMBER submits a configuration patch to a VM. After a failure it reads
# the current version again.
patch() {
  local i=$1
  echo "{\"services\": {\"portal-01\": {\"least-coverage\": 0.$(( 1 + RANDOM % 8 ))}}}" >"$dir/patch.json"
  if "$bin/arbutusctl" $(vm_flags "$i") config patch --base "$version" "$dir/patch.json" >"$dir/patch.out" 2>&1; then
    version=$(( version + 1 ))
  else
    log "  patch at vm-$i: $(tail -1 "$dir/patch.out")"
    version=$("$bin/arbutusctl" $(vm_flags 1 2 3 4 5 6 7) config get | sed -n 's/^\/\/ version //p')
  fi
}

mapfile -t upstreams <"$dir/upstreams"
while [ "$SECONDS" -lt $(( length - 6 )) ]; do
  i=$(( 1 + RANDOM % 7 ))
  u=${upstreams[$(( RANDOM % ${#upstreams[@]} ))]}
  case $(( RANDOM % 8 )) in
    0) log "kill vm-$i"; send_signal KILL "vm-$i"; wait_exit "vm-$i" || true; sleep 1; start_vm "$i" ;;
    1) log "freeze vm-$i for 2 s"; send_signal STOP "vm-$i"; sleep 2; send_signal CONT "vm-$i" ;;
    2) log "stop vm-$i"; send_signal TERM "vm-$i"; wait_exit "vm-$i" || { log "vm-$i did not stop cleanly"; exit 1; }; start_vm "$i" ;;
    3) log "kill $u"; send_signal KILL "$u"; wait_exit "$u" || true; sleep 1; start_upstream "$u" ;;
    4) log "freeze $u for 2 s"; send_signal STOP "$u"; sleep 2; send_signal CONT "$u" ;;
    5) log "platform down for 3 s"; set_faults '{"down": true}'; sleep 1; patch "$i"; sleep 2; set_faults '{}' ;;
    6) log "platform slow, replies lost"; set_faults '{"delay-ns": 300000000, "lose-after": 2}'; sleep 1; patch "$i"; sleep 1; set_faults '{}' ;;
    7) log "patch at vm-$i"; patch "$i" ;;
  esac
  sleep 1
done
wait "$trial" || true
cat "$dir/trial.out"
for _ in $(seq 50); do "$bin/arbutusctl" $(vm_flags 1 2 3 4 5 6 7) config status >"$dir/status" 2>&1 && break; sleep 0.2; done
head -1 "$dir/status"
"$bin/arbutusctl" $(vm_flags 1 2 3 4 5 6 7) verify --cuts-allowed --events --runs "$dir/runs.jsonl" --history "$dir/history.jsonl"
log "done"
