#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: its own, and those of the first review for case 7. It
# needs no network and no library beyond the standard one.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/lab-2/Cargo.toml --target-dir target/review-2
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml --target-dir target/review-2-first
