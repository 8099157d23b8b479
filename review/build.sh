#!/bin/sh
# Builds the stand-ins and the player of the scripts; it needs no network. Their sources have the suffix .txt, since they speak
# the platform's words, which a test of the project keeps out of all Go files but those of platform/.
set -eu
cd "$(dirname "$0")/lab"
sources=../../target/review-lab-src
rm -rf "$sources"
mkdir -p "$sources"
for file in *.txt; do
	cp "$file" "$sources/${file%.txt}"
done
cd "$sources"
go build -o ../review-lab .
