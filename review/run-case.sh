#!/usr/bin/env bash
# Runs the case of a folder: run-case.sh CLASS FOLDER. Exit code: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/.." || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
java -Xmx256m -cp target/review "$1" . "$temporary" "$2/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
