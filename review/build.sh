#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: they are plain JavaScript modules for Node.js 20, so it is enough that they are sound.
set -euo pipefail
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do node --check "$file"; done
