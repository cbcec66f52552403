#!/usr/bin/env bash
# Builds the stand-ins that the cases 7 to 11 start, after the build of the deploy file. They have no dependencies; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
