#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, with 0 if it held, and with 2 if it couldn't run.
# With TROUBLE=0 the disruption is left out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/jackdawloomd ] && [ -x target/standin-3 ] || exit 2
exec target/standin-3 -case late-copies -daemon target/jackdawloomd -record "$here/record.txt"
