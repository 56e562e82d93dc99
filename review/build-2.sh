#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. Run in the repository's root, after the build of the deploy file.
set -eu
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
javac -Xlint:-options --release 17 -d target/review-2 review/standin-2/*.java
