#!/usr/bin/env bash
# Runs the case whose folder is given: run-case-2.sh FOLDER CLASS
set -euo pipefail
folder="$(cd "$1" && pwd)"
cd "$(dirname "$0")/.."
if [ ! -f target/oriolewell.jar ] || [ ! -f "target/review-2/$2.class" ]; then
  echo "build first: the command of the deploy file, then review/build-2.sh" >&2
  exit 2
fi
work="$(mktemp -d)"
trap 'rm -rf "$work"' EXIT
# A caller such as nohup ignores SIGHUP, and its children would inherit that.
signals=()
if env --default-signal=HUP true 2>/dev/null; then
  signals=(env --default-signal=HUP)
fi
code=0
"${signals[@]}" java -Xmx128m -cp target/review-2 -Drecord="$folder/record.txt" "$2" "$work" || code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
