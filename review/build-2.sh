#!/usr/bin/env bash
# Checks what the scripts of cases 6 to 10 start. Their stand-ins are plain modules for Node.js, in review/harness-2/, and need no build
# step and no dependency; the instances are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for module in harness-2/*.mjs [0-9]*/case.mjs; do
    node --check "$module"
done
