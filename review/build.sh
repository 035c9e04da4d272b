#!/bin/sh
# Builds what the cases start into target/review: the stand-ins and the cases,
# compiled once. It needs nothing but python3.
set -eu
cd "$(dirname "$0")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
cp -r review/standins "$out/"
rm -rf "$out/standins/__pycache__"
for folder in review/[0-9]*/; do
  number=$(basename "$folder")
  cp "$folder/case.py" "$out/case_$number.py"
done
python3 -m compileall -q "$out"
