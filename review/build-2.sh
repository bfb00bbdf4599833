#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs the Java compiler only.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf standin-2/classes
mkdir -p standin-2/classes
javac -d standin-2/classes standin-2/src/*.java
