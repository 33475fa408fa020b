#!/usr/bin/env bash
# Measures the processor time of real instances on loopback, without load and for each
# task, and prints where it goes. Profiles of the instances stay in the directory, by
# default a new one.
#
#   scripts/profile-path.sh [directory]
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(realpath "${1:-$(mktemp -d)}")
mkdir -p "$dir"
go test ./platform/soak -run xxx -bench ProcessorTime -benchtime 1x -instance-profiles "$dir"

# share prints the share of the processor time in functions that match a pattern, with
# all that they call.
share() {
	go tool pprof -top -nodefraction=0 -nodecount=100000 -focus="$2" "$dir"/*.pprof 2>/dev/null |
		awk -v name="$1" '/^Showing nodes/ {sub(/^.*, /, ""); print name ": " $1}'
}

echo "share of the processor time, with overlaps:"
share "callers: accept, decode, answer" 'net/http.\(\*conn\).serve'
share "orders to endpoints" 'platform.\(\*WorkerClient\)'
share "store and lists" 'platform.\(\*Store\)'
share "peers: encode and send" 'peer.\(\*stream\).(send|write)|loopyWriter'
share "peers: receive and decode" 'peer.\(\*stream\).receive|HandleStreams|http2Client..reader'
share "decisions" 'pool.\(\*Machine\)'
share "of them admission" 'pool.\(\*Machine\).admit'
share "of them placement" 'pool.\(\*Machine\).placeTasks'
share "of them reports and shares" 'pool.\(\*Machine\).broadcast'
share "ticks" 'pool.\(\*Machine\).Tick'
share "JSON" 'encoding/json'
share "log" 'logline|event'
share "metrics" 'metric\.'
share "garbage collection" 'gcBgMarkWorker|gcAssist|bgsweep'
share "allocation" 'runtime.mallocgc'
share "scheduler" 'runtime.(schedule|findRunnable|mcall)'
share "system calls" 'internal/runtime/syscall|runtime.futex'
echo "profiles: $dir"
