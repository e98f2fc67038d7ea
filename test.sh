#!/usr/bin/env bash
# The project's one test command: format, lints and tests.
set -euo pipefail
cd "$(dirname "$0")"

# Tests that fail for a fault which is known and still open, one fault a line: "test, test: cause, issue". They are passed over, and named.
known_red=()
skip=()
if [ -s KNOWN-RED.txt ]; then
    mapfile -t known_red < KNOWN-RED.txt
    for line in "${known_red[@]}"; do
        IFS=', ' read -r -a names <<< "${line%%:*}"
        for name in "${names[@]}"; do
            skip+=(--skip "$name")
        done
    done
fi
# Property tests draw the same cases on every run. Another seed draws others: PROPTEST_RNG_SEED=7 ./test.sh
export PROPTEST_RNG_SEED="${PROPTEST_RNG_SEED:-1}"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked -- --exact "${skip[@]}"
# The planted fault must be found.
cargo test -p fawnhill --locked --features forgotten-means-full --test firms planted
# So must rules broken on purpose in the limiters, by rehearsal.
cargo test -p marldeal-rehearsal --locked --features planted --test planted
# And work for each server on each request, or a word to every peer on each change, by what grows with the tier.
cargo test -p marldeal-rehearsal --locked --features planted --test growth
# The choice of a server by index must equal that by a check of every server, whose work must be found to grow.
cargo test -p fawnhill --locked --features planted --test selection
cargo test -p marldeal-bench --locked --features planted --test refusals
# And those that only processes show; the others are found on processes too (`--test planted` alone, some two minutes).
cargo test -p marldeal --locked --features planted --test planted -- one_that
# A part taken back too early and one given back twice, by the model checker.
cargo test -p marldeal-budgets --locked --features planted --test model planted
if [ "${#known_red[@]}" -gt 0 ]; then
    echo "Known failures that were passed over:"
    printf '  %s\n' "${known_red[@]}"
fi
