#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the nodes. Run it after the build
# of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review2/ ./review/rig2
