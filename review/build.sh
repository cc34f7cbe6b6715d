#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start. Needs rustc only, no crates and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins.rs
