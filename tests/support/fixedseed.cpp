// Sets a fixed RapidCheck seed, so that property tests run the same cases each time. An RC_PARAMS variable that is
// already set in the environment takes precedence.

#include <cstdlib>

namespace fescuepond::test
{

namespace
{

const int isSet = setenv("RC_PARAMS", "seed=20261204", 0);

} // namespace

} // namespace fescuepond::test
