#!/usr/bin/env bash
# Builds the stand-ins of the third review, without a network, under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-3/Cargo.toml \
    --target-dir target/review-3
