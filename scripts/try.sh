#!/usr/bin/env bash
# Starts a small system on this machine, sends queries, kills an upstream and a
# VM and stops everything. Then runs the service on a simulation of the users'
# platform. Exits with 0 only if no answer violates a rule.
. "$(dirname "$0")/common.sh"
trap 'stop_all; rm -rf "$dir"' EXIT
ctl() { "$bin/arbutusctl" "$@"; }

log "building"
build
SECONDS=0
log "starting one platform, six entry VMs in three failure domains and the upstreams"
start_fleet 6 2 "${PORT:-}"
for i in 1 2 3 4 5 6; do start_vm "$i"; done
wait_ready 1 2 3 4 5 6
all=$(vm_flags 1 2 3 4 5 6)
log "$(wc -l <"$dir/upstreams") upstreams, 6 VMs ready"

log "submitting a patch against version 0"
cat >"$dir/patch.json" <<'JSON'
{
  // Certificates are worth waiting for: an answer covers four of five shards.
  "services": {"certificate": {"least-coverage": 0.8}},
}
JSON
ctl $all config patch --base 0 "$dir/patch.json"
for _ in $(seq 40); do ctl $all config status >"$dir/status" 2>&1 && break; sleep 0.1; done
cat "$dir/status"
ctl $all config patch --base 0 "$dir/patch.json" 2>&1 | sed 's/^/a second patch against version 0: /' || true

log "one query in each rank"
for q in "portal-01 urgent" "tablet-01 routine" "billing bulk"; do
  set -- $q
  ctl $all query "$1" --rank "$2"
done

load="--load portal-01:urgent:40 --load portal-02:urgent:20 --load tablet-01:routine:40 --load tablet-02:routine:20 --load certificate:routine:60 --load billing:bulk:40 --load tablet-01:once:10"
log "load in three ranks, all well"
ctl $all trial $load --duration 6s --label well --history "$dir/well.jsonl"

log "killing one upstream (certificate-s0-r0) and one VM (vm-3) under load"
ctl $(vm_flags 1 2 4 5 6) trial $load --duration 8s --label loss --history "$dir/loss.jsonl" >"$dir/loss.out" &
trial=$!
sleep 2
send_signal KILL certificate-s0-r0
sleep 2
send_signal KILL vm-3
wait "$trial"
cat "$dir/loss.out"
ctl $(vm_flags 1) query certificate --rank urgent | head -1
ctl $(vm_flags 1) vm list

log "the time line of all VMs, its last lines"
ctl $(vm_flags 1 2 4 5 6) timeline | tail -12

log "stopping a VM under load: nothing may be cut"
ctl $(vm_flags 1 2 4 6) trial $load --duration 5s --label stop --history "$dir/stop.jsonl" >"$dir/stop.out" &
trial=$!
sleep 1
send_signal TERM vm-5
wait_exit vm-5 || { echo "vm-5 did not stop cleanly" >&2; tail -3 "$dir/vm-5.log" >&2; exit 1; }
wait "$trial"
cat "$dir/stop.out"

log "checking every answer"
ctl $(vm_flags 1 2 4 6) verify --events --runs "$dir/runs.jsonl" --history "$dir/well.jsonl" --history "$dir/stop.jsonl"
ctl verify --cuts-allowed --runs "$dir/runs.jsonl" --history "$dir/loss.jsonl"

log "stopping all, gracefully"
for i in 1 2 4 6; do send_signal TERM "vm-$i"; done
for i in 1 2 4 6; do wait_exit "vm-$i" || { echo "vm-$i did not stop cleanly" >&2; exit 1; }; done
for p in "${!pids[@]}"; do send_signal TERM "$p"; done

log "the users' platform: three VMs, 11 upstreams and the store, no faults"
"$bin/leversoak" --program "$bin/arbutuslever" --vms 3 --shards 4 --length 1s
log "done"
