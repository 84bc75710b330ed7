#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, after the build of the deploy file. They are modules for
# Node.js 20 without dependencies, which need no build, so this checks only that each can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/*-2.mjs review/{6,7,8,9,10}/*.mjs; do
  if [ -f "$file" ]; then node --check "$file"; fi
done
