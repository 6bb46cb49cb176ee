#!/usr/bin/env bash
# Builds the program and the soak and plays seeds: scripts/soak.sh [FLAG...]
# Flags are those of leversoak; without any, one seed is played.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/ ./cmd/arbutuslever ./cmd/leversoak
exec target/leversoak "$@"
