#!/usr/bin/env bash
# Runs the benchmarks; prints JSON lines. Usage: scripts/bench.sh [BUILD]
set -eu
exec "${1:-build}/jaspertrack-bench"
