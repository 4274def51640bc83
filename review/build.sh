#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript for Node.js without dependencies, so nothing has to be bundled; this only checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in support/*.js [1-5]/*.js; do
	node --check "$file"
done
