#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The program of the deploy file is built by its own line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
