#!/bin/sh
# Builds the stand-ins that the scripts of the third review start, into target/review-3. It needs no network.
set -eu
cd "$(dirname "$0")/.."
source=target/review-3/source
rm -rf "$source"
mkdir -p "$source"
for file in review/lab-3/*.txt; do
	cp "$file" "$source/$(basename "$file" .txt)"
done
cd "$source"
go build -o ../lab .
