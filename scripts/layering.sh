#!/usr/bin/env bash
# Checks the layering of the sources: core/ and servers/, which make the decisions, include no network or RPC library;
# no layer includes a later one (the order is core, servers, modules, platform, main, tests); and names of the
# platform's API occur only in platform/, deploy/ and tests/platform/, where messages are translated.
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
if grep -rnE '#include "(servers|modules|platform|main|tests)/' core; then
  fail "core/ must not include a later layer"
fi
if grep -rnE '#include "(modules|platform|main|tests)/' servers; then
  fail "servers/ must not include a later layer"
fi
if grep -rnE '#include "(platform|main|tests)/' modules || grep -rnE '#include "(platform|tests)/' main; then
  fail "modules/ and main/ must not include a later layer; platform/ is used only through its registered plug-ins"
fi
if grep -rnE '#include "(main|tests)/' platform; then
  fail "platform/ must not include main/ or tests/"
fi
# Names of headers, fields, kinds and paths of the platform's API.
names='Fescuepond-(Attempt-Id|Deadline-Ms|Expect-Instance|Response-Signature|Caller-Service|Not-Executed|Server-Load|Instance-Id)|Server-(Limit|Leaving)'
names="$names|path_prefix|traffic_split|max_attempts|timeout_s|aim_s|cold_left_s|heartbeat_addr|has_more|[?&]wait_ms|\"born\"|\"metadata\"|/objects/|/instances/"
if grep -rnE "$names" core servers modules main benchmarks examples tests --include='*.cpp' --include='*.h' --include='*.capnp' \
  | grep -v '^tests/platform/'; then
  fail "names of the platform's API occur outside platform/, deploy/ and tests/platform/"
fi
lines=$(cat platform/*.h platform/*/*.h platform/*/*.cpp | wc -l)
if [ "$lines" -gt 1500 ]; then
  fail "platform/ has $lines lines; the limit for this translation layer is 1,500"
fi
[ $status -eq 0 ] && echo "layering: clean; platform/ has $lines lines"
exit $status
