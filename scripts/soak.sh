#!/usr/bin/env bash
# Builds the program and leversoak and runs seeds of the soak.
#   scripts/soak.sh [FLAG...]
# The flags are passed to leversoak. Without flags, one seed is run.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/ ./cmd/arbutuslever ./cmd/leversoak
exec target/leversoak "$@"
