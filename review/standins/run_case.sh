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
    trap 'rm -rf "$FOLDER"' EXIT
    "$ROOT/review/target/$program"
    local code=$?
    [ "$code" -le 2 ] || code=2
    return "$code"
}
