#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. They are plain JavaScript for Node.js, so they are only checked.
cd "$(dirname "$0")/.." || exit 2
for file in review/*-3.mjs review/1[1-5]/*.mjs; do node --check "$file" || exit 1; done
