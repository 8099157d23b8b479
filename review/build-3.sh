#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS=-mod=mod GOWORK=off go build -C review/lab-3 -o ../../target/lab-3 .
