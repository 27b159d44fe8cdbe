#!/usr/bin/env bash
# Format, lint and tests: the one command that must pass before a change lands.
set -euo pipefail
cd "$(dirname "$0")"
jobs="${CARGO_BUILD_JOBS:-8}"
cargo fmt --all --check
# The platform stays behind its adapter.
.ci/wire-names
cargo clippy --workspace --all-targets --release --jobs "$jobs" -- -D warnings
cargo test --workspace --release --jobs "$jobs"
# Each rule of the decision code broken once; a build of its own, so that no other program has the switch.
cargo test --release --jobs "$jobs" -p sumacdrift-simulation --features mutants --test mutants
cargo test --release --jobs "$jobs" -p sumacdrift-ledger --features mutants --test mutants
cargo test --release --jobs "$jobs" -p sumacdrift-access --features mutants --test mutants
cargo test --release --jobs "$jobs" -p sumacdrift-routing --features mutants --test mutants
