#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/eelgrassfordd ] && [ -x target/eelgrassford-standins ] && [ -x target/review-3/Split ] || exit 2
exec target/review-3/Split review/13
