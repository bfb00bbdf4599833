#!/usr/bin/env bash
# Regenerates the committed message classes from src/main/proto with the protoc of the library's version.
set -euo pipefail
cd "$(dirname "$0")"
version=$(sed -n 's:.*<protobuf.version>\(.*\)</protobuf.version>.*:\1:p' ../pom.xml)
mvn -q -B -N dependency:copy -Dartifact=com.google.protobuf:protoc:"$version":exe:linux-x86_64 -DoutputDirectory=target/protoc
chmod +x target/protoc/protoc-"$version"-linux-x86_64.exe
rm -rf src/generated/java && mkdir -p src/generated/java
target/protoc/protoc-"$version"-linux-x86_64.exe --proto_path=src/main/proto --java_out=src/generated/java src/main/proto/*.proto
