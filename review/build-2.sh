#!/bin/sh
# Builds what the scripts of review/4 to review/8 start besides the nodes. Run it after the build
# of deploy/system.toml. The build tag keeps it out of ./..., and so out of CI.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review2/ ./review/platform/rig2
