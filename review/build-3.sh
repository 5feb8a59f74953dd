#!/usr/bin/env bash
# Builds the stand-ins and the checks of the cases of this review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -Xlint:all -d target/review-3 review/standins-3/*.java
