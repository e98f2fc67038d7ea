#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10, with the compiler alone. The limiter is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p target
for source in standins-2/case_*.rs; do
    name="$(basename "$source" .rs)"
    rustc --edition 2021 -O -o "target/$name" "$source"
done
