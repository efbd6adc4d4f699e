// Digests of texts as 128-bit identifiers.

#pragma once

#include "core/values/call.h"
#include "core/values/id.h"

#include <initializer_list>
#include <string_view>

namespace fescuepond
{

namespace detail
{
/// Hashes the parts with their lengths, so that the same text divided differently gives another digest.
WordPair digestWords(std::initializer_list<std::string_view> parts);
}

/// A digest of several texts.
template<typename Digest>
Digest digestOf(std::initializer_list<std::string_view> parts)
{
    const detail::WordPair words = detail::digestWords(parts);
    return Digest(words.high, words.low);
}

/// A digest of the service, method, path and body of a call. The same request sent again has the same fingerprint.
using Fingerprint = Id<struct FingerprintTag>;
Fingerprint fingerprintOf(const CallRequest &call);

} // namespace fescuepond
