#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review. Needs the Rust compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/scenario review/standins/main.rs
