#!/usr/bin/env bash
# Builds the module, runs gofmt, go vet and staticcheck, and runs the tests with
# the race detector. It needs only the Go toolchain; staticcheck is a tool
# dependency in go.mod. The tests listed in KNOWN-RED.txt run separately. Their
# results are printed and do not fail the check.
set -euo pipefail
cd "$(dirname "$0")"

known_red=$(sed -n 's/^test: *\(Test[A-Za-z0-9_]*\) *$/\1/p' KNOWN-RED.txt | sort -u | paste -sd'|')

echo "== build"
go build ./...

echo "== gofmt"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	printf 'run gofmt -w on these files:\n%s\n' "$unformatted"
	exit 1
fi

echo "== vet"
go vet ./...

echo "== staticcheck"
go tool staticcheck ./...

# Property tests use a fixed seed here, so that all runs of a commit have the
# same result. Run them by hand to use new seeds.
property=$(go list -f '{{.ImportPath}} {{.TestImports}} {{.XTestImports}}' ./... | awk '/pgregory.net\/rapid/ {print $1}')
others=$(go list ./... | grep -vxF "$property")
# Flood tests measure the memory of processes. They run one at a time, apart from other
# tests, and without the race detector.
floods=^TestFloodOf
skip="^(${known_red:+$known_red|}TestFloodOf.*)\$"

print_red() { grep -Ev 'no test files|no tests to run' | sed 's/^/red: /'; }

if [ -n "$known_red" ]; then
	echo "== known red (see KNOWN-RED.txt; not counted)"
	go test -timeout 120s -run "^($known_red)\$" -skip "$floods" ./... 2>&1 | print_red || true
	red_floods=$(tr '|' '\n' <<<"$known_red" | grep "$floods" | paste -sd'|' || true)
	if [ -n "$red_floods" ]; then
		go test -p 1 -timeout 600s -run "^($red_floods)\$" ./platform ./serve 2>&1 | print_red || true
	fi
fi

echo "== test"
# The lists are split into words: package paths contain no spaces.
# shellcheck disable=SC2086
go test -race -timeout 1800s -skip "$skip" $others
# shellcheck disable=SC2086
go test -race -timeout 1800s -skip "$skip" $property -rapid.seed=1

echo "== floods, one at a time"
go test -p 1 -timeout 1200s -run "$floods" ${known_red:+-skip "^($known_red)\$"} ./platform ./serve
