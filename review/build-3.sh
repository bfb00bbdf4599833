#!/usr/bin/env bash
# Builds the stand-ins and scripts of the third review; needs only the Java of the deploy file. Runs without a network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
rm -rf target
mkdir -p target/classes
javac -proc:none -d target/classes ./*.java
