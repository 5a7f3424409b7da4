#!/bin/sh
# Builds the stand-ins of the cases from 6 on.
cd "$(dirname "$0")/.." || exit 2
CARGO_TARGET_DIR="$PWD/target/review-2" cargo build --release --offline --manifest-path review/standins-2/Cargo.toml
