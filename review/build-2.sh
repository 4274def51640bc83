#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are plain modules that run as they are; no case starts a stand-in of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/stand-ins-2/*.js review/{6,7,8,9,10}/*.js; do
	if [ -f "$file" ]; then
		node --check "$file"
	fi
done
