#!/usr/bin/env bash
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
cd "$root" || exit 2
[ -f target/radishpass-on-platform.jar ] && [ -f target/review/CaseResume.class ] || { echo "run the build of deploy/system.toml and review/build.sh first"; exit 2; }
exec java -Xmx256m -cp target/review CaseResume "$root" "$here/record.txt"
