#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, beside the build of the deploy file. Their stand-ins are plain JavaScript for
# Node.js without dependencies, so there is only their syntax to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
  [ ! -e "$file" ] || node --check "$file"
done
