#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
