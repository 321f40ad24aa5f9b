#!/bin/bash
# Builds the stand-ins of the cases, without any dependency.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
