#!/usr/bin/env bash
# Builds what the scripts of the review start, besides the programs of the deploy file. The
# build tag keeps it out of ./..., and so out of CI.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review
go build -tags review -o out/review/ ./review/platform/rig
