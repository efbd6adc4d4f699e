// Digests of texts as 128-bit identifiers.

#include "core/values/digest.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <string>

namespace fescuepond
{

detail::WordPair detail::digestWords(std::initializer_list<std::string_view> parts)
{
    std::string joined;
    for (const std::string_view part : parts) {
        joined += fmt::format("{}:", part.size());
        joined += part;
    }
    const XXH128_hash_t hash = XXH3_128bits(joined.data(), joined.size());
    return {hash.high64, hash.low64};
}

Fingerprint fingerprintOf(const CallRequest &call)
{
    return digestOf<Fingerprint>({call.service(), call.method(), call.path(), call.body().bytes()});
}

} // namespace fescuepond
