#!/usr/bin/env bash
# Builds the stand-ins of the second review, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for program in unfollowed tainted_part orphaned_load; do
  rustc --edition 2024 -O -o "target/review-2/$program" "review/standin-2/$program.rs"
done
