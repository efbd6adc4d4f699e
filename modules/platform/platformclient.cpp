// Blocking client of the platform's object API.

#include "modules/platform/platformclient.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <charconv>
#include <fmt/format.h>

namespace fescuepond
{

namespace
{

using Poco::Net::HTTPRequest;
using Poco::Net::HTTPResponse;

std::string encoded(const std::string &text)
{
    std::string result;
    Poco::URI::encode(text, "/?#&", result);
    return result;
}

std::string objectPath(const std::string &collection, const std::string &name)
{
    return "/v1/" + encoded(collection) + "/" + encoded(name);
}

std::string quotedVersion(ObjectVersion version)
{
    return fmt::format("\"{}\"", version);
}

/// The version in an ETag, or 0.
ObjectVersion parseVersion(const std::string &etag)
{
    ObjectVersion version = 0;
    if (etag.size() > 2) {
        std::from_chars(etag.data() + 1, etag.data() + etag.size() - 1, version);
    }
    return version;
}

struct RawAnswer {
    HTTPResponse response;
    std::string body;
};

RawAnswer exchange(PlatformSessions &sessions, Duration timeout, HTTPRequest &request, const std::string &body)
{
    const auto lease = sessions.acquire(timeout);
    Poco::Net::HTTPClientSession &session = lease->session();
    request.setContentLength64(static_cast<Poco::Int64>(body.size()));
    request.setKeepAlive(true);
    request.set("Host", sessions.address());
    session.sendRequest(request) << body;
    RawAnswer answer;
    Poco::StreamCopier::copyToString(session.receiveResponse(answer.response), answer.body);
    const auto declared = answer.response.getContentLength64();
    if (declared >= 0 && answer.body.size() != static_cast<std::size_t>(declared)) {
        throw Poco::IOException("the platform's answer ends before its declared length");
    }
    if (answer.response.getKeepAlive()) {
        lease->release();
    }
    return answer;
}

PlatformReply withStatus(PlatformStatus status)
{
    return PlatformReply().withStatus(status);
}

/// The reply for an answer whose body, if it has one, is the object `name`.
PlatformReply toReply(const std::string &name, const RawAnswer &answer)
{
    switch (answer.response.getStatus()) {
    case HTTPResponse::HTTP_OK:
    case HTTPResponse::HTTP_CREATED:
        break;
    case HTTPResponse::HTTP_NOT_FOUND:
    case HTTPResponse::HTTP_NOT_MODIFIED:
        return withStatus(PlatformStatus::NotFound);
    case HTTPResponse::HTTP_PRECONDITION_FAILED:
        return withStatus(PlatformStatus::Conflict);
    default:
        return withStatus(PlatformStatus::Unavailable);
    }
    const auto object = PlatformObject()
                            .withName(name)
                            .withVersion(parseVersion(answer.response.get("ETag", "")))
                            .withValue(answer.body);
    return withStatus(PlatformStatus::Ok).withObjects({object});
}

std::vector<PlatformObject> parseList(const std::string &body)
{
    std::vector<PlatformObject> objects;
    const auto items = Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>()->getArray("items");
    for (const auto &entry : *items) {
        const auto &item = entry.extract<Poco::JSON::Object::Ptr>();
        objects.push_back(PlatformObject()
                              .withName(item->getValue<std::string>("name"))
                              .withVersion(item->getValue<Poco::UInt64>("version"))
                              .withValue(item->getValue<std::string>("value")));
    }
    return objects;
}

/// Sends a request about one object. Anything but a whole answer is "unavailable".
PlatformReply request(PlatformSessions &sessions,
                      Duration timeout,
                      HTTPRequest &message,
                      const std::string &name,
                      const std::string &body)
{
    try {
        return toReply(name, exchange(sessions, timeout, message, body));
    } catch (const Poco::Exception &) {
        return withStatus(PlatformStatus::Unavailable);
    }
}

} // namespace

PlatformClient::PlatformClient(std::string address, Duration timeout)
    : m_timeout(timeout)
    , m_sessions(std::move(address))
{
}

void PlatformClient::abort()
{
    m_sessions.abort();
}

PlatformReply PlatformClient::get(const std::string &collection, const std::string &name)
{
    HTTPRequest message(HTTPRequest::HTTP_GET, objectPath(collection, name), HTTPRequest::HTTP_1_1);
    return request(m_sessions, m_timeout, message, name, {});
}

PlatformReply PlatformClient::list(const std::string &collection)
{
    HTTPRequest message(HTTPRequest::HTTP_GET, "/v1/" + encoded(collection), HTTPRequest::HTTP_1_1);
    try {
        const RawAnswer answer = exchange(m_sessions, m_timeout, message, {});
        if (answer.response.getStatus() != HTTPResponse::HTTP_OK) {
            return withStatus(PlatformStatus::Unavailable);
        }
        return withStatus(PlatformStatus::Ok).withObjects(parseList(answer.body));
    } catch (const Poco::Exception &) {
        return withStatus(PlatformStatus::Unavailable);
    }
}

PlatformReply PlatformClient::put(const std::string &collection,
                                  const std::string &name,
                                  const std::string &value,
                                  ObjectVersion expected)
{
    HTTPRequest message(HTTPRequest::HTTP_PUT, objectPath(collection, name), HTTPRequest::HTTP_1_1);
    if (expected == 0) {
        message.set("If-None-Match", "*");
    } else {
        message.set("If-Match", quotedVersion(expected));
    }
    return request(m_sessions, m_timeout, message, name, value);
}

PlatformReply PlatformClient::remove(const std::string &collection, const std::string &name, ObjectVersion expected)
{
    HTTPRequest message(HTTPRequest::HTTP_DELETE, objectPath(collection, name), HTTPRequest::HTTP_1_1);
    message.set("If-Match", quotedVersion(expected));
    return request(m_sessions, m_timeout, message, name, {});
}

PlatformReply
PlatformClient::watch(const std::string &collection, const std::string &name, ObjectVersion known, Duration wait)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const std::string path = fmt::format("{}?watch={}&wait_ms={}", objectPath(collection, name), known, waitMs);
    HTTPRequest message(HTTPRequest::HTTP_GET, path, HTTPRequest::HTTP_1_1);
    return request(m_sessions, m_timeout + wait, message, name, {});
}

} // namespace fescuepond
