#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts, so nothing has to be built for them. The program itself comes from the
# build command of the deploy file; this checks that it is there.
set -euo pipefail
cd "$(dirname "$0")/.."
for script in review/lib/*.mjs review/[1-5]/*.mjs; do
  if [ -e "$script" ]; then
    node --check "$script"
  fi
done
if [ ! -e target/redwingwharf-platform.cjs ]; then
  echo 'run the build command of deploy/system.toml first' >&2
  exit 2
fi
