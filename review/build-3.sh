#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, beside the build of the deploy file. Their stand-ins are plain JavaScript for
# Node.js without dependencies, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
