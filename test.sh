#!/bin/bash
# Everything that must hold before a change lands: format, vet, lint, build, all tests with the race detector, each scenario over
# 200 seeds in virtual time, and the explorers in full, which need no race detector. Those that only compute run beside the
# others on half of the cores, and on all once the race detector's are done. What is judged by the machine's own time comes last
# and has the machine to itself: instances over real sockets, and the days with agents as processes, without the race detector.
# Tests that KNOWN-RED.txt lists are run like the others; a run that fails by them alone is passed over, and says so.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt: $unformatted" >&2
	exit 1
fi
if ! grep -q '^packages = \["' deploy/system.toml; then
	echo "deploy/system.toml names no packages that a clean build needs" >&2
	exit 1
fi
export GOFLAGS="${GOFLAGS:-} -buildvcs=false"
go build ./...

export tmp=$(mktemp -d)
trap 'kill $(jobs -p) 2>/dev/null || true; rm -rf "$tmp"' EXIT
go build -o "$tmp/knownred" ./cmd/knownred
"$tmp/knownred" check
go test -c -o "$tmp/fleet.test" ./internal/fleet
cores=$(nproc)
beside=$(((cores + 1) / 2))
virtual='InVirtualTime|TestPlanted'         # of processtest's tests: those without processes
timed='TestFiftyManaged|TestDataUnderFlood' # of the fleet's: those that go by the machine's own time and judge by it

# The jobs beside, each a line, the longest first.
seeds=200
shard=8
{
	for package in rollout change group lease site work; do
		echo "GOMAXPROCS=1 go test -count=1 -run 'Explore|Planted' ./internal/$package"
	done
	echo "GOMAXPROCS=1 go test -count=1 -run 'Explore|Planted|Whole|Losses' ./internal/mesh/consensus"
	echo "GOMAXPROCS=1 go test -count=1 -run 'Explore|Planted' ./internal/mesh/maintenance"
	echo "GOMAXPROCS=1 go test -count=1 -run '$virtual' ./internal/processtest"
	echo "cd internal/fleet && GOMAXPROCS=1 $tmp/fleet.test -test.run TestAnHour"
	echo "cd internal/fleet && GOMAXPROCS=1 $tmp/fleet.test -test.run TestLargeFleet"
	echo "go vet ./..."
	echo "go tool staticcheck ./..."
	for ((seed = 1; seed <= seeds; seed += shard)); do
		echo "cd internal/fleet && GOMAXPROCS=1 $tmp/fleet.test -test.run TestShippedScenarios -seed $seed -seeds $shard"
	done
} >"$tmp/jobs"
# do_job runs one; its output stays in a file until all are done, and its file's name says how it ended.
do_job() {
	local out
	out=$(mktemp "$tmp/job.XXXXXX")
	echo "$1" >"$out"
	local TIMEFORMAT="%U %S $1" # seconds of a processor
	if { time eval "$1" >>"$out" 2>&1; } 2>>"$tmp/times"; then mv "$out" "$out.passed"; else mv "$out" "$out.failed"; fi
}
export -f do_job
xargs -d '\n' -P "$beside" -I JOB bash -c 'do_job "$1"' _ JOB <"$tmp/jobs" &
jobs=$!

failed=0
# run_tests runs a command, and notes a failure that is not of listed tests alone. The first argument names the run.
run_tests() {
	local out="$tmp/run.$1" began=$SECONDS
	shift
	"$@" 2>&1 | tee "$out" || "$tmp/knownred" judge "$out" || failed=1
	echo "$((SECONDS - began)) s: ${out##*.}"
}
run_tests race go test -race -short -count=1 -timeout 10m -skip "$timed" $(go list ./... | grep -v -e /internal/processtest -e /internal/mesh/meshtest)
for ((i = beside; i < cores; i++)); do
	kill -USR1 "$jobs" 2>/dev/null || true # one more at a time (GNU xargs)
done
began=$SECONDS
wait "$jobs" || failed=1
echo "$((SECONDS - began)) s: waiting for the jobs beside, of which these took most of a processor (user, system, command):"
sort -rn "$tmp/times" | head -n 8
for out in "$tmp"/job.*; do
	[ "${out##*.}" = passed ] || "$tmp/knownred" judge "$out" || { failed=1 && echo "failed: $(cat "$out")"; }
done
if [ "$(ls "$tmp"/job.*.* 2>/dev/null | wc -l)" != "$(wc -l <"$tmp/jobs")" ]; then
	echo "not all jobs ended" >&2
	failed=1
fi

run_tests timed go test -race -short -count=1 -timeout 10m -run "$timed" ./internal/fleet
run_tests processes go test -count=1 -timeout 10m -skip "$virtual" ./internal/processtest
run_tests mesh go test -race -count=1 -timeout 2m ./internal/mesh/meshtest
"$tmp/knownred" stale "$tmp"/run.* "$tmp"/job.*
if [ "$failed" = 0 ]; then
	echo "every scenario holds the rules over $seeds seeds"
else
	echo "failed, see above" >&2
fi
exit "$failed"
