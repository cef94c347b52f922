#!/bin/sh
# Builds the rig of the second review: the stand-ins and the cases that the scripts start. It needs
# the modules of go.mod and no network beyond them.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -trimpath -o target/review-2 ./review/_rig2
