#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 11 to 13 into
# target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O1 -pthread -Ireview/harness-3"
for part in Net Store Worker Fleet; do
  g++ $flags -c "review/harness-3/$part.cpp" -o "$out/$part.o" &
done
wait
for case in review/1[1-3]/case.cpp; do
  number="$(basename "$(dirname "$case")")"
  g++ $flags "$case" "$out"/{Net,Store,Worker,Fleet}.o -o "$out/case-$number"
done
