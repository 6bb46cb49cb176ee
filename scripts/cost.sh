#!/usr/bin/env bash
# Measures the CPU time and memory of the daemon processes, first idle, then at
# several rates of queries over five shards. Results depend on the machine.
#   scripts/cost.sh [RATE...]
. "$(dirname "$0")/common.sh"
trap 'stop_all; rm -rf "$dir"' EXIT
rates=("${@:-}")
[ -n "${rates[0]}" ] || rates=(100 200 400 800)
span=10
build
start_fleet 7 1 "${PORT:-}"
for i in 1 2 3 4 5 6 7; do start_vm "$i"; done
wait_ready 1 2 3 4 5 6 7
sleep 3

# ticks prints the total CPU time of all VMs in clock ticks of 10 ms.
ticks() {
  local sum=0 i
  for i in 1 2 3 4 5 6 7; do sum=$(( sum + $(awk '{print $14+$15}' "/proc/${pids[vm-$i]}/stat") )); done
  echo "$sum"
}

before=$(ticks)
sleep "$span"
idle=$(( $(ticks) - before ))
rss=$(awk '/VmRSS/ {print $2}' "/proc/${pids[vm-1]}/status")
echo "idle: $(( idle * 100 / 7 / span ))/10000 of a core and $rss KiB a VM"
for r in "${rates[@]}"; do
  before=$(ticks)
  "$bin/arbutusctl" $(vm_flags 1 2 3 4 5 6 7) trial --load "certificate:routine:$r" --duration "${span}s" --label "r$r" --json >"$dir/out"
  used=$(( $(ticks) - before - idle ))
  attempts=$(sed -n 's/^  "attempts": \([0-9]*\).*/\1/p' "$dir/out")
  echo "$r queries/s: $attempts shard calls, $(( used * 10000 / attempts )) us of processor time each, all VMs together"
done
