#!/bin/sh
# Builds the stand-ins of the scripts of this review, into target/review-2. Needs no packages beside those that the
# project's own lock file names.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --manifest-path review/stand-2/Cargo.toml --target-dir target/review-2
