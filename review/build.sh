#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/standin ./review/_standin
