#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript and need no build. This
# checks that the build of the deploy file has been run.
set -euo pipefail
cd "$(dirname "$0")/.."
test -f target/gateway.cjs || npm run --silent bundle
node target/gateway.cjs --check --settings deploy/sample_settings.json
