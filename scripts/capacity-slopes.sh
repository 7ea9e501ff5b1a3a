#!/usr/bin/env bash
# Prints the slopes used in docs/CAPACITY.md as JSON lines.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
lab=${BUILD:-$top/build}/jaspertrack-lab
one_cell=$top/scenarios/capacity-sweep.cfg
many_cells=$top/scenarios/capacity-many-cells.cfg
"$lab" sweep "$one_cell" --by nodes --values 6,9,12,15,18,24
"$lab" sweep "$one_cell" --by endpoints --values 6,18,36,72,144
"$lab" sweep "$one_cell" --by new_flows_per_s --values 100,350,700,1400
"$lab" sweep "$one_cell" --by groups --values 1,3,6,12
"$lab" sweep "$one_cell" --by changes_per_s --values 0.02,0.1,0.3,1
"$lab" sweep "$one_cell" --by loss --values 0,0.001,0.01,0.03,0.05
"$lab" sweep "$many_cells" --by nodes --values 12,120,480,1200,2400
