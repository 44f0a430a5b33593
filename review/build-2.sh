#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/. It needs nothing beyond the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=0 go build -o target/standin-2 ./review/_standin-2
