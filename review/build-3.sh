#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/15 start: their stand-ins are plain modules of review/lib-3, which only
# have to be read without an error.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  if [ -e "$file" ]; then
    node --check "$file"
  fi
done
