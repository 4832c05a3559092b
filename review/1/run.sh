#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption.
export TROUBLE="${TROUBLE:-1}"
exec node "$(dirname "$0")/run.mjs"
