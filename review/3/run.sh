#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
[ -x "$root/review/bin/standin" ] && [ -x "$root/target/ferry-gateway" ] || { echo "run the build line of deploy/system.toml and review/build.sh first" >&2; exit 2; }
exec "$root/review/bin/standin" old-config "$root" "$root/review/3/record.txt"
