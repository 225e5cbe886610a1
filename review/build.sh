#!/bin/bash
# The stand-ins are plain modules for Node.js: there is nothing to compile. Checks that they parse and that the entry is built.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do node --check "$file"; done
test -f ../target/entry.cjs
