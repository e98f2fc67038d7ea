#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exit code: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
exec ../standins-2/play.sh 10
