#!/bin/sh
# Builds the stand-ins that the scripts of this review start. Needs no network once the project itself is built.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/bed-2/Cargo.toml --target-dir target/review-2
