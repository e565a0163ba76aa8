#!/bin/sh
# Builds the stand-ins of the cases. They use the JDK alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/standins/*.java
