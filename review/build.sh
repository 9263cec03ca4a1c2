#!/usr/bin/env bash
# The stand-ins are plain JavaScript, which needs no build: checks that Node.js can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.mjs [0-9]/*.mjs; do
    node --check "$file"
done
