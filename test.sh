#!/bin/bash
# Everything that must hold before a change lands: format, vet, build, tests with the race detector.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt: $unformatted" >&2
	exit 1
fi
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go vet ./...
go build ./...
go test -race -count=1 ./...
