#!/usr/bin/env bash
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
source ../standins/run_case.sh
run_case "$PWD" case_upgrade_kill
exit $?
