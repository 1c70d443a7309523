#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. It needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/standin3 ./review/standin3
