#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cc; do
  g++ -std=c++20 -O2 -pthread -o "target/review/$(basename "$source" .cc)" "$source"
done
