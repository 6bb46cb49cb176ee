#!/usr/bin/env bash
# Checks the formatting, runs vet and the linters, and checks that goroutines run
# only methods whose names begin with run or loop.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l $(git ls-files '*.go'))
[ -z "$unformatted" ] || { echo "not formatted:"; echo "$unformatted"; exit 1; }
go vet ./...
go tool staticcheck ./...
go tool revive -config revive.toml -formatter friendly ./...
unmanaged=$(git grep -nE '^\s*go (func|[A-Za-z_.]+\()' -- '*.go' ':!*_test.go' | grep -vE 'go [A-Za-z_.]+\.(run|loop)[A-Za-z]*\(' || true)
[ -z "$unmanaged" ] || { echo "goroutines that are not a run or loop method:"; echo "$unmanaged"; exit 1; }
