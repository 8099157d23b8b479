#!/bin/sh
# Builds the stand-ins and the player of the scripts; it needs no network.
set -eu
cd "$(dirname "$0")/lab"
mkdir -p ../../target
go build -o ../../target/review-lab .
