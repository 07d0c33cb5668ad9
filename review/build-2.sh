#!/bin/sh
# Builds the stand-ins of the cases review/4 and later.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
exec rustc --edition 2024 -O -o target/review-2/case review/stand-ins-2/main.rs
