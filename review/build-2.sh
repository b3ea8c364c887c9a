#!/usr/bin/env bash
# Builds the scripts and stand-ins of the review cases 6 to 10. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
  --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
