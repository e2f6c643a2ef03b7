#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The project itself is built with
# the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked \
    --manifest-path review/tests/standins/Cargo.toml --target-dir target/review
