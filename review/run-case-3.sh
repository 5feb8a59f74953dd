#!/usr/bin/env bash
# Runs the check of one case: run-case-3.sh CLASS FOLDER. Exits with 1 if the rule was broken, 0 if
# it held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
if [ ! -f target/oriolewell.jar ] || [ ! -f "target/review-3/$1.class" ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first"
  exit 2
fi
exec java -Xmx512m -cp target/review-3 "$1" "$2"
