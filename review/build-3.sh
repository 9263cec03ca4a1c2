#!/bin/sh
# Checks the stand-ins and scripts of the third review. They are plain modules for Node.js and need no build.
set -e
cd "$(dirname "$0")/.."
for file in review/stand-ins-3/*.mjs review/1[1-5]/*.mjs; do
    node --check "$file"
done
