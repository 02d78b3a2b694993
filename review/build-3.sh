#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run it after the build of
# deploy/system.toml, which makes target/banyandeald.
set -e
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-3 ./review/programs-3
