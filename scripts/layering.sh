#!/usr/bin/env bash
# Checks that decisions stay apart from the encoding of messages: core/ and servers/ name no network or RPC library,
# and no layer includes a later one.
set -euo pipefail
cd "$(dirname "$0")/.."

status=0
fail() {
  echo "layering: $1"
  status=1
}
if grep -rnE '#include [<"](Poco/|kj/|capnp/)' core servers; then
  fail "core/ and servers/ must not include POCO, KJ or Cap'n Proto"
fi
if grep -rnE '#include "(servers|modules|main|tests)/' core; then
  fail "core/ must not include a later layer"
fi
if grep -rnE '#include "(modules|main|tests)/' servers; then
  fail "servers/ must not include a later layer"
fi
if grep -rnE '#include "(main|tests)/' modules; then
  fail "modules/ must not include a later layer"
fi
[ $status -eq 0 ] && echo "layering: clean"
exit $status
