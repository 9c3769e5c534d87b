#!/usr/bin/env bash
# The stand-ins of the cases from 6 on are plain modules for Node.js without dependencies: there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for module in lib-2/*.mjs {6,7,8,9,10}/*.mjs; do
  if [ -e "$module" ]; then
    node --check "$module"
  fi
done
