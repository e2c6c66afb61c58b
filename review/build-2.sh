#!/bin/sh
# Builds the programs that the cases of the second review start, beside the build of the deploy
# file. Needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/support-2/main.rs
