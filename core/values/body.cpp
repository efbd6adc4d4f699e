// The body of a request or answer: its digest.

#include "core/values/body.h"

#include <xxhash.h>

namespace fescuepond
{

std::uint64_t Body::digest() const
{
    return XXH3_64bits(bytes().data(), bytes().size());
}

} // namespace fescuepond
