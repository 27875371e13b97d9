#!/bin/sh
# The stand-ins of the cases are plain Node.js modules in review/lib, without a build step or dependencies: this checks that they parse.
cd "$(dirname "$0")" || exit 2
for file in lib/*.mjs */*.mjs; do
    node --check "$file" || exit 1
done
