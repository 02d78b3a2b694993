#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run it after the build of
# deploy/system.toml, which makes target/banyandeald.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/programs-2
