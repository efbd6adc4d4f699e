// Stand-in for the platform's object API, for tests and the demo.
//
// Speaks the protocol that modules/platform/platformclient.h describes. A control port makes it fail:
//     POST /mode?up | /mode?down | /mode?slow=MS | /mode?lose=N    (lose the answers to the next N writes)
//     GET  /counts                                                 calls by method since the start, as text

#include "tests/standins/standin.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>

DEFINE_string(address, "127.0.0.1:0", "IP and port of the object API.");
DEFINE_string(control, "127.0.0.1:0", "IP and port of the control.");

namespace
{

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

struct Object {
    std::uint64_t version;
    std::string value;
};

/// What the control port has asked for.
struct Failure {
    bool isDown = false;
    std::chrono::milliseconds delay{0};
    int answersToLose = 0;
};

struct Answer {
    HTTPResponse::HTTPStatus status;
    std::uint64_t version = 0;
    std::string body;
};

/// The objects, with one version counter for all of them.
class Store
{
public:
    Answer get(const std::string &collection, const std::string &name)
    {
        const std::lock_guard guard(m_mutex);
        return read(collection, name);
    }

    Answer
    watch(const std::string &collection, const std::string &name, std::uint64_t known, std::chrono::milliseconds wait)
    {
        std::unique_lock lock(m_mutex);
        const bool isNewer = m_changed.wait_for(lock, wait, [&] {
            const Answer answer = read(collection, name);
            return m_failure.isDown || (answer.status == HTTPResponse::HTTP_OK && answer.version > known);
        });
        return isNewer ? read(collection, name) : Answer{HTTPResponse::HTTP_NOT_MODIFIED, 0, {}};
    }

    Answer list(const std::string &collection)
    {
        const std::lock_guard guard(m_mutex);
        Poco::JSON::Array items;
        for (const auto &[name, object] : m_collections[collection]) {
            Poco::JSON::Object item;
            item.set("name", name);
            item.set("version", object.version);
            item.set("value", object.value);
            items.add(item);
        }
        Poco::JSON::Object root;
        root.set("items", items);
        std::ostringstream text;
        root.stringify(text);
        return {HTTPResponse::HTTP_OK, m_version, text.str()};
    }

    /// `expected`: the version to replace; 0 means that there must be no object.
    Answer put(const std::string &collection, const std::string &name, std::uint64_t expected, std::string value)
    {
        const std::lock_guard guard(m_mutex);
        if (versionOf(collection, name) != expected) {
            return {HTTPResponse::HTTP_PRECONDITION_FAILED, 0, {}};
        }
        m_collections[collection][name] = {++m_version, std::move(value)};
        m_changed.notify_all();
        return read(collection, name);
    }

    Answer remove(const std::string &collection, const std::string &name, std::uint64_t expected)
    {
        const std::lock_guard guard(m_mutex);
        const std::uint64_t version = versionOf(collection, name);
        if (version == 0) {
            return {HTTPResponse::HTTP_NOT_FOUND, 0, {}};
        }
        if (version != expected) {
            return {HTTPResponse::HTTP_PRECONDITION_FAILED, 0, {}};
        }
        m_collections[collection].erase(name);
        return {HTTPResponse::HTTP_OK, ++m_version, {}};
    }

    Failure failure()
    {
        const std::lock_guard guard(m_mutex);
        return m_failure;
    }
    void setFailure(const Failure &failure)
    {
        const std::lock_guard guard(m_mutex);
        m_failure = failure;
        m_changed.notify_all();
    }
    bool takeLostAnswer()
    {
        const std::lock_guard guard(m_mutex);
        if (m_failure.answersToLose == 0) {
            return false;
        }
        --m_failure.answersToLose;
        return true;
    }
    void count(const std::string &operation)
    {
        const std::lock_guard guard(m_mutex);
        ++m_counts[operation];
    }
    std::string counts()
    {
        const std::lock_guard guard(m_mutex);
        std::string text;
        for (const auto &[operation, count] : m_counts) {
            text += fmt::format("{} {}\n", operation, count);
        }
        return text;
    }

private:
    std::uint64_t versionOf(const std::string &collection, const std::string &name)
    {
        const auto &objects = m_collections[collection];
        const auto found = objects.find(name);
        return found == objects.end() ? 0 : found->second.version;
    }

    Answer read(const std::string &collection, const std::string &name)
    {
        const auto &objects = m_collections[collection];
        const auto found = objects.find(name);
        if (found == objects.end()) {
            return {HTTPResponse::HTTP_NOT_FOUND, 0, {}};
        }
        return {HTTPResponse::HTTP_OK, found->second.version, found->second.value};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_collections;
    std::uint64_t m_version = 0;
    Failure m_failure;
    std::map<std::string, int> m_counts;
};

std::optional<std::string> queryValue(const Poco::URI &uri, const std::string &name)
{
    for (const auto &[key, value] : uri.getQueryParameters()) {
        if (key == name) {
            return value;
        }
    }
    return std::nullopt;
}

std::uint64_t versionIn(const std::string &etag)
{
    return etag.size() > 2 ? std::stoull(etag.substr(1, etag.size() - 2)) : 0;
}

class ObjectHandler final : public HTTPRequestHandler
{
public:
    explicit ObjectHandler(Store &store)
        : m_store(store)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        const Failure failure = m_store.failure();
        if (failure.isDown) {
            response.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
            response.setContentLength(0);
            response.send();
            return;
        }
        std::this_thread::sleep_for(failure.delay);
        const Answer answer = run(request, std::move(body));
        const bool isWrite = request.getMethod() == "PUT" || request.getMethod() == "DELETE";
        if (isWrite && m_store.takeLostAnswer()) {
            // The write has taken effect; its answer never arrives.
            response.setKeepAlive(false);
            return;
        }
        response.setStatusAndReason(answer.status);
        if (answer.version > 0) {
            response.set("ETag", fmt::format("\"{}\"", answer.version));
        }
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

private:
    Answer run(const HTTPServerRequest &request, std::string body)
    {
        const Poco::URI uri(request.getURI());
        std::vector<std::string> segments;
        uri.getPathSegments(segments);
        if (segments.size() < 2 || segments.size() > 3) {
            return {HTTPResponse::HTTP_BAD_REQUEST, 0, {}};
        }
        const std::string &collection = segments[1];
        if (segments.size() == 2) {
            m_store.count("list");
            return m_store.list(collection);
        }
        const std::string &name = segments[2];
        if (request.getMethod() == "PUT") {
            m_store.count("put");
            return m_store.put(collection, name, versionIn(request.get("If-Match", "")), std::move(body));
        }
        if (request.getMethod() == "DELETE") {
            m_store.count("delete");
            return m_store.remove(collection, name, versionIn(request.get("If-Match", "")));
        }
        if (const auto known = queryValue(uri, "watch")) {
            m_store.count("watch");
            const auto wait = std::chrono::milliseconds(std::stoll(queryValue(uri, "wait_ms").value_or("1000")));
            return m_store.watch(collection, name, std::stoull(*known), wait);
        }
        m_store.count("get");
        return m_store.get(collection, name);
    }

    Store &m_store;
};

class ControlHandler final : public HTTPRequestHandler
{
public:
    explicit ControlHandler(Store &store)
        : m_store(store)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const Poco::URI uri(request.getURI());
        std::string text = "ok\n";
        if (uri.getPath() == "/counts") {
            text = m_store.counts();
        } else {
            setMode(uri);
        }
        response.sendBuffer(text.data(), text.size());
    }

private:
    void setMode(const Poco::URI &uri)
    {
        Failure failure;
        failure.isDown = queryValue(uri, "down").has_value();
        failure.delay = std::chrono::milliseconds(std::stoi(queryValue(uri, "slow").value_or("0")));
        failure.answersToLose = std::stoi(queryValue(uri, "lose").value_or("0"));
        m_store.setFailure(failure);
    }

    Store &m_store;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Store store;
    fescuepond::standin::serve<ObjectHandler, ControlHandler>(FLAGS_address, FLAGS_control, store);
}
