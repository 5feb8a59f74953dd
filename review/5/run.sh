#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
exec "$(dirname "$0")/../run-case.sh" KeyCase review/5
