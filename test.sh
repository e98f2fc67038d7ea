#!/usr/bin/env bash
# The project's one test command: format, lints, tests and the size limits of the decision module.
set -euo pipefail
cd "$(dirname "$0")"
policy=(src/policy.rs src/firms.rs) # as deploy/balancer.toml names them
lines=$(cat "${policy[@]}" | grep -cv '^[[:space:]]*$')
[ "$lines" -le 1200 ] || { echo "${policy[*]} hold $lines lines that are not blank, 1200 at most"; exit 1; }
if awk 'length($0) > 110 { exit 1 }' "${policy[@]}"; then :; else
    echo "${policy[*]} have a line of more than 110 characters"; exit 1
fi
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
# The planted fault must be found.
cargo test -p fawnhill --locked --features forgotten-means-full --test firms planted
# So must rules broken on purpose in the limiters, by rehearsal.
cargo test -p marldeal-rehearsal --locked --features planted --test planted
# And work for each server on each request, or a word to every peer on each change, by what grows with the tier.
cargo test -p marldeal-rehearsal --locked --features planted --test growth
# And those that only processes show; the others are found on processes too (`--test planted` alone, some two minutes).
cargo test -p marldeal --locked --features planted --test planted -- one_that
# A part taken back too early and one given back twice, by the model checker.
cargo test -p marldeal-budgets --locked --features planted --test model planted
