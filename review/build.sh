#!/bin/sh
# Builds the stand-ins of the cases. Needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
