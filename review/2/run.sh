#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
ROUTER="$(cd ../.. && pwd)/target/release/apricotfork"
export ROUTER
bed=../../target/review/release/isolation
[ -x "$ROUTER" ] && [ -x "$bed" ] || exit 2
scratch=$(mktemp -d) || exit 2
timeout 110 "$bed" . "$scratch"
code=$?
rm -rf "$scratch"
[ "$code" -le 2 ] || code=2
exit "$code"
