#!/bin/bash
# Everything that must hold before a change lands: format, vet, build, all tests with the race detector, and each
# scenario over 200 seeds in virtual time, which needs no race detector and has one process for each core. The days with
# agents as processes have the machine to themselves, and a program without the race detector.
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
go test -race -short -count=1 -timeout 5m $(go list ./... | grep -v -e /internal/ground -e /internal/seceda)
go test -count=1 -timeout 5m ./internal/ground
go test -race -count=1 -timeout 2m ./internal/seceda

seeds=200
workers=$(nproc)
each=$(((seeds + workers - 1) / workers))
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
go test -c -o "$tmp/fleet.test" ./internal/fleet
cd internal/fleet
pids=()
for ((i = 0; i < workers; i++)); do
	GOMAXPROCS=1 "$tmp/fleet.test" -test.run TestShippedScenarios -seed $((1 + i * each)) -seeds "$each" >"$tmp/$i" 2>&1 &
	pids+=($!)
done
failed=0
for i in "${!pids[@]}"; do
	wait "${pids[$i]}" || { failed=1; cat "$tmp/$i"; }
done
"$tmp/fleet.test" -test.run 'TestAnHour|TestLargeFleet' || failed=1
(cd ../.. && go test -count=1 -run 'Explore|Planted' ./internal/change ./internal/rollout ./internal/site ./internal/lease ./internal/group ./internal/work) || failed=1
[ "$failed" = 0 ] && echo "every scenario holds the rules over $((each * workers)) seeds"
exit "$failed"
