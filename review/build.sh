#!/usr/bin/env bash
# Builds the stand-ins and the cases with the JDK alone, into review/target.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$here/target/classes"
mkdir -p "$here/target/classes"
javac --release 17 -encoding UTF-8 -d "$here/target/classes" "$here"/standin/review/*.java
echo "built the stand-ins"
