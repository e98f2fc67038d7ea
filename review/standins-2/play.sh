#!/usr/bin/env bash
# Plays the case of the folder that it is called in, and ends the processes that it has started.
ROOT="$(cd ../.. && pwd)" RECORD="$PWD/record.txt" TROUBLE="${TROUBLE:-1}"
# A short path: the limiters' sockets in it have long names.
TMPDIR="$(mktemp -d -p /tmp 2>/dev/null || mktemp -d)" || exit 2
PIDS="$TMPDIR/pids"
export ROOT RECORD TROUBLE TMPDIR PIDS
finish() {
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done 2>/dev/null <"$PIDS"
    rm -rf "$TMPDIR"
}
trap finish EXIT
[ -x "../target/case_$1" ] && [ -x "$ROOT/target/release/marldeal" ] || { echo "not built"; exit 2; }
timeout -k 5 110 "../target/case_$1"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
