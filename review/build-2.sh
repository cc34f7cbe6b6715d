#!/bin/bash
# Builds the stand-ins of the second review. They lie with case 7, and the scenario of case 8 with case 8.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/scenario review/7/main.rs
