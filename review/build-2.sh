#!/usr/bin/env bash
# Builds the stand-ins that the cases 4 to 6 start, from locked libraries that the project's own build has fetched.
set -euo pipefail
cd "$(dirname "$0")/.."
build=(cargo build --release --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2)
"${build[@]}" --offline || "${build[@]}"
