#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the JDK alone.
set -eu
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
rm -rf "$root/target/review"
mkdir -p "$root/target/review"
javac -nowarn -d "$root/target/review" "$root"/review/standin/*.java
