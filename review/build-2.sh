#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8 into target/bin, after the build line of
# deploy/system.toml. They need g++ and the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/bin
for source in review/standins-2/*.cc; do
  g++ -std=c++20 -O2 -pthread -o "target/bin/review-2-$(basename "$source" .cc)" "$source"
done
