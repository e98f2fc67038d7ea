#!/usr/bin/env bash
# Lays beside the variants the three files that the bench wants beside a site. They belong to the kit and stay out of git.
set -euo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
kit="${1:-$here/../../../given/kit/sites}"
for file in real.json wire.json unlock.txt; do
    [ -r "$kit/$file" ] || { echo "$kit/$file: not there; the first argument names the folder" >&2; exit 1; }
    install -m 644 "$kit/$file" "$here/$file"
done
