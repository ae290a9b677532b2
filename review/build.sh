#!/bin/sh
# Builds the stand-ins of the scripts; they need nothing but the Rust compiler.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O review/stand/main.rs -o target/review/stand
