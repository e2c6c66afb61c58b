#!/usr/bin/env bash
# Builds the stand-ins of the review's cases. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path standins/Cargo.toml
