// Blocking client of the platform's object API, over HTTP.
//
//     GET    /v1/COLLECTION/NAME                     the object; its version is the ETag
//     GET    /v1/COLLECTION/NAME?watch=V&wait_ms=T   as soon as its version is above V; 304 after T
//     GET    /v1/COLLECTION                          all objects, as JSON
//     PUT    /v1/COLLECTION/NAME                     If-Match: "V", or If-None-Match: *; 412 is a conflict
//     DELETE /v1/COLLECTION/NAME                     If-Match: "V"

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/platform/platformsessions.h"

#include <string>

namespace fescuepond
{

/// May be used by several threads at once.
class PlatformClient
{
public:
    PlatformClient(std::string address, Duration timeout);

    /// Ends the calls in flight, as from another thread when the node stops; they and later ones are unavailable.
    void abort();

    PlatformReply get(const std::string &collection, const std::string &name);
    PlatformReply list(const std::string &collection);
    PlatformReply
    put(const std::string &collection, const std::string &name, const std::string &value, ObjectVersion expected);
    PlatformReply remove(const std::string &collection, const std::string &name, ObjectVersion expected);
    PlatformReply watch(const std::string &collection, const std::string &name, ObjectVersion known, Duration wait);

private:
    const Duration m_timeout;
    PlatformSessions m_sessions;
};

} // namespace fescuepond
