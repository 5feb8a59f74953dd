#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt is broken, 0 if it holds, 2 if the case could not run.
exec "$(dirname "$0")/../run-case-2.sh" "$(dirname "$0")" LateStop
