#!/usr/bin/env bash
# Starts a small system on this machine, sends queries, takes an upstream and a
# VM away and stops everything; then does the same service on stand-ins of the
# users' platform. Exits 0 only if every answer kept the rules.
. "$(dirname "$0")/common.sh"
trap 'stop_all; rm -rf "$dir"' EXIT
ctl() { "$bin/arbutusctl" "$@"; }

say "building"
build
SECONDS=0
say "starting one platform, six entry VMs in three failure domains and the upstreams"
plan 6 2 "${PORT:-}"
for i in 1 2 3 4 5 6; do start_vm "$i"; done
ready 1 2 3 4 5 6
all=$(callers 1 2 3 4 5 6)
say "$(wc -l <"$dir/upstreams") upstreams, 6 VMs ready"

say "submitting a patch against version 0"
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

say "one query in each rank"
for q in "portal-01 urgent" "tablet-01 routine" "billing bulk"; do
  set -- $q
  ctl $all query "$1" --rank "$2"
done

load="--load portal-01:urgent:40 --load portal-02:urgent:20 --load tablet-01:routine:40 --load tablet-02:routine:20 --load certificate:routine:60 --load billing:bulk:40 --load tablet-01:once:10"
say "load in three ranks, all well"
ctl $all trial $load --duration 6s --label well --history "$dir/well.jsonl"

say "killing one upstream (certificate-s0-r0) and one VM (vm-3) under load"
ctl $(callers 1 2 4 5 6) trial $load --duration 8s --label loss --history "$dir/loss.jsonl" >"$dir/loss.out" &
trial=$!
sleep 2
stop KILL certificate-s0-r0
sleep 2
stop KILL vm-3
wait "$trial"
cat "$dir/loss.out"
ctl $(callers 1) query certificate --rank urgent | head -1
ctl $(callers 1) vm list

say "the time line of all VMs, its last lines"
ctl $(callers 1 2 4 5 6) timeline | tail -12

say "stopping a VM under load: nothing may be cut"
ctl $(callers 1 2 4 6) trial $load --duration 5s --label stop --history "$dir/stop.jsonl" >"$dir/stop.out" &
trial=$!
sleep 1
stop TERM vm-5
gone vm-5 || { echo "vm-5 did not stop cleanly" >&2; tail -3 "$dir/vm-5.log" >&2; exit 1; }
wait "$trial"
cat "$dir/stop.out"

say "checking every answer"
ctl $(callers 1 2 4 6) verify --events --runs "$dir/runs.jsonl" --history "$dir/well.jsonl" --history "$dir/stop.jsonl"
ctl verify --cuts-allowed --runs "$dir/runs.jsonl" --history "$dir/loss.jsonl"

say "stopping all, gracefully"
for i in 1 2 4 6; do stop TERM "vm-$i"; done
for i in 1 2 4 6; do gone "vm-$i" || { echo "vm-$i did not stop cleanly" >&2; exit 1; }; done
for p in "${!pids[@]}"; do stop TERM "$p"; done

say "the users' platform: three VMs, 11 upstreams and the store, no faults"
"$bin/leversoak" --program "$bin/arbutuslever" --vms 3 --shards 4 --length 1s
say "done"
