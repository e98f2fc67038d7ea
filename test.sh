#!/usr/bin/env bash
# The project's one test command: format, lints, tests and the size limits of the decision module.
set -euo pipefail
cd "$(dirname "$0")"
lines=$(grep -cv '^[[:space:]]*$' src/policy.rs)
[ "$lines" -le 940 ] || { echo "src/policy.rs holds $lines lines that are not blank, 940 at most"; exit 1; }
if awk 'length($0) > 110 { exit 1 }' src/policy.rs; then :; else
    echo "src/policy.rs has a line of more than 110 characters"; exit 1
fi
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
