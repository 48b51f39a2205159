#!/usr/bin/env bash
# Builds the stand-ins and the program of each case into target/review/. They use nothing but the
# standard library. The daemon itself is built by the command in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
rustc --edition 2024 -O --crate-type rlib --crate-name standins -o "$out/libstandins.rlib" \
    review/standins/lib.rs
for case in review/*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2024 -O --crate-name "case_$number" --extern "standins=$out/libstandins.rlib" \
        -o "$out/case-$number" "$case"
done
