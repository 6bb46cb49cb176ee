#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Takes about 105 s.
set -u
cd "$(dirname "$0")/../.."
[ -x target/arbutuslever ] && [ -x target/review-standin ] || { echo "not built"; exit 2; }
timeout -k 5 115 target/review-standin poison review/4
rc=$?
[ $rc -le 2 ] || rc=2
exit $rc
