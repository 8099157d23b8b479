#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, into target/review-2. Run in the project's root.
set -e
source=target/review-2/source
rm -rf "$source"
mkdir -p "$source"
for file in review/lab-2/*.txt; do
	name=$(basename "$file" .txt)
	cp "$file" "$source/$name"
done
cd "$source"
go build -o ../lab .
