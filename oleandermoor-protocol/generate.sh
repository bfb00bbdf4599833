#!/usr/bin/env bash
# Regenerates the committed message classes from src/main/proto with the protoc of the library's version.
set -euo pipefail
cd "$(dirname "$0")"
version=$(sed -n 's:.*<protobuf.version>\(.*\)</protobuf.version>.*:\1:p' ../pom.xml)
# The artifact names 64-bit Arm differently from the kernel.
machine=$(uname -m)
[ "$machine" != aarch64 ] || machine=aarch_64
mvn -q -B -N dependency:copy -Dartifact=com.google.protobuf:protoc:"$version":exe:linux-"$machine" -DoutputDirectory=target/protoc
chmod +x target/protoc/protoc-"$version"-linux-"$machine".exe
rm -rf src/generated/java && mkdir -p src/generated/java
target/protoc/protoc-"$version"-linux-"$machine".exe --proto_path=src/main/proto --java_out=src/generated/java src/main/proto/*.proto
