#!/bin/bash
# Compiles the stand-ins of the cases 4 to 8, with the JDK alone, into target/review-2.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all,-serial -d target/review-2 review/standins-2/*.java $(ls review/[4-8]/*.java)
