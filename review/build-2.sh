#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases 6 to 10 into
# target/review-2. Needs g++ and nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -c -o target/review-2/Stage.o \
  review/harness-2/Stage.cpp
for source in review/*/Case.cpp; do
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Ireview/harness-2 \
    -o "target/review-2/case-$name" "$source" target/review-2/Stage.o -pthread
done
