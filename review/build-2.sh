#!/bin/bash
# Builds the stand-ins of the second review. They need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/scenario review/standins-2/main.rs
