#!/bin/sh
# Builds the stand-ins that the scripts start.
cd "$(dirname "$0")/.." || exit 2
CARGO_TARGET_DIR="$PWD/target/review" cargo build --release --offline --manifest-path review/standins/Cargo.toml
