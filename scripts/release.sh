#!/usr/bin/env bash
# Builds the release binary: ./scripts/release.sh VERSION. The build is
# reproducible: the same commit, version and toolchain give the same bytes.
set -euo pipefail
cd "$(dirname "$0")/.."

version=${1:?usage: scripts/release.sh VERSION}
package=github.com/lovagecrank/lovagecrank/command

go build -trimpath -buildvcs=true \
	-ldflags "-buildid= -X $package.release=$version" \
	-o lovagecrank ./cmd/lovagecrank
sha256sum lovagecrank
