#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.
set -e
cd "$(dirname "$0")/standins-2"
cargo build --release --offline
