#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 plays the same restart without the drill of the store, TROUBLE=away with a
# store that is away as long and comes back with all that it had.
cd "$(dirname "$0")/../.." || exit 2
drill=target/review-3/store_drill
[ -x "$drill" ] && [ -x target/bulrushgw ] || exit 2
exec timeout 110 "$drill" target/bulrushgw review/11/record.txt "${TROUBLE:-1}"
