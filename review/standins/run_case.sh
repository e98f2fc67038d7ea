# Runs one case: `run_case FOLDER PROGRAM`. 0 the rule held, 1 it was broken, 2 the case could not run.
run_case() {
    local folder="$1" program="$2"
    ROOT="$(cd "$folder/../.." && pwd)"
    RECORD="$folder/record.txt"
    export ROOT RECORD
    if [ ! -x "$ROOT/review/target/$program" ]; then
        echo "review/build.sh has not been run" | tee "$RECORD"
        return 2
    fi
    FOLDER="$(mktemp -d)" || return 2
    export FOLDER
    "$ROOT/review/target/$program" &
    PROGRAM_PID=$!
    # The limiters end with the program that started them.
    trap 'kill -KILL "$PROGRAM_PID" 2>/dev/null; rm -rf "$FOLDER"' EXIT
    trap 'exit 2' TERM INT HUP
    wait "$PROGRAM_PID"
    local code=$?
    [ "$code" -le 2 ] || code=2
    return "$code"
}
