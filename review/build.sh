#!/bin/sh
# Builds the stand-ins of the scripts. They are plain JavaScript for the runtime
# that runs the program, so they are only checked here.
set -eu
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
