#!/usr/bin/env bash
# Regenerates the committed protobuf and twirp code of this directory.
# Needs protoc, protoc-gen-go v1.36.12 and protoc-gen-twirp v8.1.3 on PATH.
set -euo pipefail
cd "$(dirname "$0")"
protoc --go_out=. --go_opt=paths=source_relative \
  --twirp_out=. --twirp_opt=paths=source_relative \
  record.proto exec.proto control.proto coordinator.proto
