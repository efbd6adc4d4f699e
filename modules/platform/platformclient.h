// Blocking client of the platform's object API, over HTTP.
//
//     GET    /v1/COLLECTION/NAME                     the object; its version is the ETag
//     GET    /v1/COLLECTION/NAME?watch=V&wait_ms=T   as soon as its version is above V; 304 after T
//     GET    /v1/COLLECTION                          all objects, as JSON
//     PUT    /v1/COLLECTION/NAME                     If-Match: "V", or If-None-Match: *; 412 is a conflict
//     DELETE /v1/COLLECTION/NAME                     If-Match: "V"

#pragma once

#include "core/pipeline/interfaces.h"

#include <string>

namespace fescuepond
{

class PlatformClient
{
public:
    PlatformClient(std::string address, Duration timeout);

    PlatformReply get(const std::string &collection, const std::string &name) const;
    PlatformReply list(const std::string &collection) const;
    PlatformReply
    put(const std::string &collection, const std::string &name, const std::string &value, ObjectVersion expected) const;
    PlatformReply remove(const std::string &collection, const std::string &name, ObjectVersion expected) const;
    PlatformReply
    watch(const std::string &collection, const std::string &name, ObjectVersion known, Duration wait) const;

private:
    const std::string m_address;
    const Duration m_timeout;
};

} // namespace fescuepond
