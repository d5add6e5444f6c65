#!/bin/sh
# Builds what the scripts start beside the program: their stand-ins are plain modules for Node.js, so they are only checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file"
done
