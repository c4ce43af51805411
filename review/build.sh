#!/bin/sh
# Builds the stand-ins of the review's cases. They use the standard library only.
set -e
cd "$(dirname "$0")/bed"
cargo build --release --offline --target-dir ../../target/review
