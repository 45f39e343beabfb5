#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; they need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/review-2 review/standins-2/main.rs
