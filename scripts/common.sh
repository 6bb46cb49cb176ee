# Functions shared by the scripts. Processes of a trial are started and stopped
# by pid.
# shellcheck shell=bash
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
root=$PWD
dir=$(mktemp -d)
bin=$dir/bin
declare -A pids=()
export ARBUTUS_KEY=operator-key-for-trials-only

log() { printf '%4ds  %s\n' "$SECONDS" "$*"; }

build() {
  mkdir -p "$bin"
  go build -o "$bin/" ./cmd/...
}

# start NAME COMMAND... starts a background process and records its pid.
start() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids[$name]=$!
}

# send_signal SIGNAL NAME sends a signal to a process that this script started.
send_signal() { kill "-$1" "${pids[$2]}" 2>/dev/null || true; }

# wait_exit NAME waits for a process to exit and returns its exit status.
wait_exit() {
  local status=0
  wait "${pids[$1]}" 2>/dev/null || status=$?
  unset "pids[$1]"
  return "$status"
}

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -KILL "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}

# start_fleet VMS SCALE PORT [SEED [DEPLOYMENT]] writes the settings files and
# starts the platform and the upstreams. If PORT is empty, it searches for free
# ports.
start_fleet() {
  set -- "$1" "$2" "${3:-$("$bin/leverstandin" port)}" "${@:4}"
  "$bin/leverstandin" plan --dir "$dir" --vms "$1" --scale "$2" --port "$3" --seed "${4:-1}" --deployment "${5:-tw-north}" >"$dir/upstreams"
  base_port=$3
  vms=$1
  start platform "$bin/leverstandin" platform --settings "$dir/platform.json"
  local u
  while read -r u; do start_upstream "$u"; done <"$dir/upstreams"
}

start_upstream() { start "$1" "$bin/leverstandin" upstream --settings "$dir/fleet.json" --id "$1"; }
start_vm() { start "vm-$1" "$bin/arbutuslever" --settings "$dir/vm-$1.json"; }
caller_address() { echo "127.0.0.1:$(( base_port + 1 + 2 * ($1 - 1) ))"; }

# vm_flags NUMBER... prints the --vm flags for the VMs with these numbers.
vm_flags() {
  local i
  for i in "$@"; do printf -- '--vm=%s ' "$(caller_address "$i")"; done
}

# wait_ready NUMBER... waits up to 10 s for each VM to become ready.
wait_ready() {
  local i n
  for i in "$@"; do
    for n in $(seq 100); do
      if (exec 3<>"/dev/tcp/127.0.0.1/$(( base_port + 1 + 2 * (i - 1) ))" && printf 'GET /v1/ready HTTP/1.0\r\n\r\n' >&3 && grep -q '200 OK' <&3) 2>/dev/null; then break; fi
      [ "$n" -lt 100 ] || { echo "vm-$i is not ready:" >&2; tail -5 "$dir/vm-$i.log" >&2; return 1; }
      sleep 0.1
    done
  done
}

# set_faults JSON sets the faults of the platform; {} removes them.
set_faults() {
  local body=$1
  exec 3<>"/dev/tcp/127.0.0.1/$base_port"
  printf 'PUT /v1/stand-in/faults HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' "${#body}" "$body" >&3
  grep -q '200 OK' <&3
}
