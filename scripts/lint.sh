#!/usr/bin/env bash
# Formatter, vet and linters.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l $(git ls-files '*.go'))
[ -z "$unformatted" ] || { echo "not formatted:"; echo "$unformatted"; exit 1; }
go vet ./...
go tool staticcheck ./...
go tool revive -config revive.toml -formatter friendly ./...
loose=$(git grep -nE '^\s*go (func|[A-Za-z_.]+\()' -- '*.go' ':!*_test.go' | grep -vE 'go [A-Za-z_.]+\.(run|loop)[A-Za-z]*\(' || true)
[ -z "$loose" ] || { echo "goroutines that are not a run or loop method:"; echo "$loose"; exit 1; }
