#!/usr/bin/env bash
# Measures the cost of one entry instance with one core (or BENCH_CORES) over
# loopback HTTP, with stand-ins for the platform and the endpoints. The load
# command submits the jobs. Prints task starts per second, CPU time per task and
# memory.
#
#   scripts/bench-instance.sh [jobs_per_second] [tasks_per_job] [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."

jobs=${1:-500}
tasks=${2:-10}
seconds=${3:-10}
endpoints=12
slots=64
work=$(mktemp -d)
pids=()
cleanup() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$work"
}
trap cleanup EXIT

go build -o "$work/lovagecrank" ./cmd/lovagecrank
run="$work/lovagecrank"

cat >"$work/instance.yaml" <<YAML
instance: {id: entry-1, data_centre: local, rack: rack-1}
listeners: {caller: 127.0.0.1:17100, operator: 127.0.0.1:17200, peer: 127.0.0.1:17300}
platform: {addresses: ["127.0.0.1:17000"]}
YAML
cat >"$work/load.yaml" <<YAML
addresses: ["127.0.0.1:17100"]
duration: ${seconds}s
seed: 1
in_flight: 4000
streams:
  - class: urgent
    teams: [one]
    kind: short
    target: 1s
    jobs_per_second: $jobs
    tasks: {min: $tasks, max: $tasks}
    run_time: {median: 50ms, sigma: 0.01, min: 49ms, max: 51ms}
    idempotent: true
    declared_factor: 1
YAML

"$run" standin platform -listen 127.0.0.1:17000 >/dev/null &
pids+=($!)
for i in $(seq "$endpoints"); do
	"$run" standin endpoint -id "w-$i" -listen "127.0.0.1:$((18000 + i))" -platform 127.0.0.1:17000 -slots "$slots" >/dev/null &
	pids+=($!)
done
GOMAXPROCS=${BENCH_CORES:-1} ${BENCH_ENV:+env $BENCH_ENV} "$run" serve -config "$work/instance.yaml" 2>"$work/log" &
instance=$!
pids+=("$instance")
for _ in $(seq 100); do
	"$run" class set -address 127.0.0.1:17200 -target 1s urgent >/dev/null 2>&1 && break
	sleep 0.1
done
"$run" team set -address 127.0.0.1:17200 one >/dev/null
sleep 2

# Fields 14 and 15 of the stat file are the user and system time in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$instance/stat"; }
before=$(ticks)
"$run" load -config "$work/load.yaml" 2>/dev/null
after=$(ticks)
started=$(awk "BEGIN {print $jobs * $tasks * $seconds}")
awk -v used="$((after - before))" -v hz="$(getconf CLK_TCK)" -v n="$started" -v s="$seconds" 'BEGIN {
	cpu = used / hz
	printf "offered %.0f starts/s; %.2f s of CPU time in %d s; %.1f us per task; capacity of one core %.0f starts/s\n", n / s, cpu, s, cpu / n * 1e6, n / cpu
}'
echo "response times measured by the instance, from acceptance to answer, and their ratio to the run time on the endpoint:"
"$run" class list -address 127.0.0.1:17200
grep -E 'VmHWM|VmRSS' "/proc/$instance/status"
tail -n 3 "$work/log"
