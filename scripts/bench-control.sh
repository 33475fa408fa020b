#!/usr/bin/env bash
# Measures the control plane cost of an idle entry instance: CPU time, network
# traffic and memory. It runs a fleet of instances on loopback with a platform
# stand-in. The endpoints and teams are listed but not used. Requires curl and
# ss.
#
#   scripts/bench-control.sh [instances] [endpoints] [teams] [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."

instances=${1:-7}
endpoints=${2:-50}
teams=${3:-10}
seconds=${4:-20}
data_centres=5
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
platform=127.0.0.1:27000
operator=127.0.0.1:27201

"$run" standin platform -listen $platform >/dev/null 2>&1 &
pids+=($!)
sleep 0.5
for i in $(seq "$endpoints"); do
	[ "$i" = 1 ] || echo next
	echo "url = \"http://$platform/v1/endpoints/w-$i\""
	echo "data = \"{\\\"id\\\":\\\"w-$i\\\",\\\"address\\\":\\\"127.0.0.1:9\\\",\\\"data_centre\\\":\\\"dc-$((i % data_centres))\\\",\\\"rack\\\":\\\"rack-$((i / 8))\\\",\\\"slots\\\":8,\\\"connections\\\":64,\\\"cores\\\":16,\\\"memory_bytes\\\":68719476736}\""
	echo 'request = "PUT"'
	echo 'output = "/dev/null"'
done >"$work/endpoints"
curl -s -K "$work/endpoints"

members=()
for i in $(seq "$instances"); do
	cat >"$work/$i.yaml" <<YAML
instance: {id: entry-$i, data_centre: dc-$((i % data_centres)), rack: rack-1}
listeners: {caller: "127.0.0.1:$((27100 + i))", operator: "127.0.0.1:$((27200 + i))", peer: "127.0.0.1:$((27300 + i))"}
platform: {addresses: ["$platform"]}
YAML
	GOMAXPROCS=1 "$run" serve -config "$work/$i.yaml" >"$work/$i.log" 2>&1 &
	members+=($!)
	pids+=($!)
done
for _ in $(seq 50); do
	curl -sf -X PUT "http://$operator/v1/classes/urgent" -d '{"target":"1s"}' >/dev/null && break
	sleep 0.2
done
for i in $(seq "$teams"); do
	curl -sf -X PUT "http://$operator/v1/teams/team-$i" -d '{"concurrent_tasks":100}' >/dev/null || echo "cannot set team-$i" >&2
done
sleep 10 # until all instances are connected and have the configuration

metric() { curl -s "http://$operator/metrics" | awk -v name="$1" 'index($0, name " ") == 1 { print $2 }'; }
# Sums the payload bytes and segments of the instances' TCP connections in both
# directions. Each segment adds 52 bytes of headers in the report below.
traffic() {
	ss -tinpH | awk -v pids="$(IFS='|'; echo "${members[*]}")" '
		/^ESTAB/ { mine = $0 ~ "pid=(" pids ")," && $0 !~ ":27(1|2)[0-9][0-9] "; next }
		mine {
			for (i = 1; i <= NF; i++) {
				split($i, kv, ":")
				if (kv[1] == "bytes_sent" || kv[1] == "bytes_received") payload += kv[2]
				if (kv[1] == "segs_out" || kv[1] == "segs_in") segments += kv[2]
			}
		}
		END { printf "%d %d\n", payload, segments }'
}
ticks() { cat $(printf '/proc/%s/stat ' "${members[@]}") | awk '{ t += $14 + $15 } END { print t }'; }
resident() { cat $(printf '/proc/%s/status ' "${members[@]}") | awk '$1 == "VmRSS:" { kb += $2 } END { print kb }'; }

read -r payload segments < <(traffic)
used=$(ticks)
peers=$(metric 'lovagecrank_peer_bytes_total{direction="sent"}')
messages=$(metric 'lovagecrank_peer_messages_total{direction="sent"}')
sleep "$seconds"
used=$(($(ticks) - used))
peers=$(awk -v a="$(metric 'lovagecrank_peer_bytes_total{direction="sent"}')" -v b="$peers" 'BEGIN { print a - b }')
messages=$(awk -v a="$(metric 'lovagecrank_peer_messages_total{direction="sent"}')" -v b="$messages" 'BEGIN { print a - b }')
read -r payload2 segments2 < <(traffic)

awk -v n="$instances" -v e="$endpoints" -v t="$teams" -v s="$seconds" -v used="$used" -v hz="$(getconf CLK_TCK)" \
	-v payload=$((payload2 - payload)) -v segments=$((segments2 - segments)) -v peers="$peers" -v messages="$messages" \
	-v kb="$(resident)" -v live="$(metric lovagecrank_peers_live)" -v version="$(metric lovagecrank_configuration_version)" 'BEGIN {
	printf "instances %d (live peers of the first: %d), endpoints %d, teams %d, configuration version %d, idle for %d s\n", n, live, e, t, version, s
	printf "average per instance, both directions, including platform traffic:\n"
	printf "  CPU          %.2f %% of a core\n", used / hz / s / n * 100
	printf "  payload      %.2f KB/s\n", payload / s / n / 1000
	printf "  with headers %.2f KB/s (52 bytes per segment, %.0f segments/s)\n", (payload + 52 * segments) / s / n / 1000, segments / s / n
	printf "  memory       %.0f MB\n", kb / 1024 / n
	printf "first instance: %.1f messages/s and %.2f KB/s sent to peers, without framing\n", messages / s, peers / s / 1000
}'
