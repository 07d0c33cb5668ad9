#!/usr/bin/env bash
# Builds the stand-ins and scenarios of all cases. They need the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/main.rs
