#!/bin/sh
# Builds what the scripts of the second review start beside the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --locked --package flamingo-standins --bin standin
