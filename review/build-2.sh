#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness-2/tests/Cargo.toml --target-dir target/review-2
