// Digests of texts, as identifiers.

#pragma once

#include "core/values/call.h"
#include "core/values/id.h"

#include <initializer_list>
#include <string_view>

namespace fescuepond
{

namespace detail
{
/// Two words that no other division into texts shares.
WordPair digestWords(std::initializer_list<std::string_view> parts);
}

/// A digest of several texts.
template<typename Digest>
Digest digestOf(std::initializer_list<std::string_view> parts)
{
    const detail::WordPair words = detail::digestWords(parts);
    return Digest(words.high, words.low);
}

/// What a call asks for: service, method, path and body. The same request sent again has the same fingerprint.
using Fingerprint = Id<struct FingerprintTag>;
Fingerprint fingerprintOf(const CallRequest &call);

} // namespace fescuepond
