#!/usr/bin/env bash
# Builds the stand-ins of the review's cases; needs the project's jar.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review -cp target/mulleinshift.jar review/standins/*.java
