#!/usr/bin/env bash
# Builds the stand-ins of review/11 and later into target/review-3. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-3 review/stand-3/main.rs
