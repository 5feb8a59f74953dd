#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 and up into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -d target/review-2 review/standins-2/*.java
