#!/usr/bin/env bash
# Plays the case; with TROUBLE=0 the same without its disruption. Exit code 1: the rule was broken, 0: it held, 2: it could not run.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
export TROUBLE="${TROUBLE:-1}"
source ../standins/run_case.sh
run_case "$PWD" case_upload
exit $?
