#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the SIGTERM out.
set -uo pipefail
cd "$(dirname "$0")/../.."
CASE_DIR=review/1 exec target/review/pipelined
