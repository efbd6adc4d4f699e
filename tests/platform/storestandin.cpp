// Stand-in for the platform's object store, for tests and the demo.
//
// Implements the protocol that platform/store/storeclient.h describes, with a short history. A control port injects
// failures and restores:
//     POST /mode?up                 ends all injected failures
//     POST /mode?down=1             responds with 503 and ends waiting watches
//     POST /mode?refuse=STATUS      responds with that status
//     POST /mode?silent=1           accepts requests and never responds
//     POST /mode?slow=MS            delays each response before the request is carried out
//     POST /mode?lose=N             applies the next N writes but closes their connections without a response
//     POST /mode?late=MS            closes the connections of writes without a response and applies them MS later
//     POST /mode?hold=MS            delays each response after the request was carried out
//     POST /compact                 drops the history and ends waiting watches
//     POST /copy                    keeps a copy of the store
//     POST /restore[?watches=keep]  returns to the copy, in the next era. Ends waiting watches, unless they are kept
//     POST /advance?by=N            raises the revision by N, as changes of other kinds do
//     GET  /counts                  number of calls by operation since the start, as text

#include "tests/standins/standin.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
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
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>

DEFINE_string(address, "127.0.0.1:0", "IP and port of the object store.");
DEFINE_string(control, "127.0.0.1:0", "IP and port for control commands.");
DEFINE_int32(page, 50, "Maximum number of objects in one response.");
DEFINE_int32(history, 1000, "Number of changes kept for watches.");

namespace
{

using Poco::JSON::Array;
using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using JsonObject = Poco::JSON::Object;

/// How long a request is held in mode `silent` before its connection is closed.
constexpr std::chrono::seconds SilentTime{30};

struct StoredValue {
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    Poco::Dynamic::Var content;
};

struct Change {
    std::uint64_t revision;
    std::string kind;
    std::string name;
    StoredValue value;
    bool isRemoved;
};

/// The injected failures.
struct Failure {
    bool isDown = false;
    bool isSilent = false;
    int status = 0; ///< 0: none.
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds writeDelay{0};
    std::chrono::milliseconds holdTime{0};
    int responsesToLose = 0;
};

struct Response {
    int status;
    std::string body;
    std::uint64_t era = 0; ///< Of the store when the request was carried out; 0: it was not.
};

std::string textOf(const JsonObject &object)
{
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

JsonObject encodeObject(const std::string &name, const StoredValue &value)
{
    JsonObject header;
    header.set("name", name);
    header.set("revision", value.revision);
    header.set("created", value.created);
    header.set("finalizers", Array());
    header.set("deleting", false);
    JsonObject object;
    object.set("metadata", header);
    object.set("spec", value.content);
    object.set("status", Poco::Dynamic::Var());
    return object;
}

class Store
{
public:
    Response get(const std::string &kind, const std::string &name)
    {
        const std::lock_guard guard(m_mutex);
        return read(kind, name);
    }

    Response list(const std::string &kind, const std::string &after)
    {
        const std::lock_guard guard(m_mutex);
        Array items;
        const auto &objects = m_kinds[kind];
        auto entry = after.empty() ? objects.begin() : objects.upper_bound(after);
        while (entry != objects.end() && items.size() < static_cast<std::size_t>(FLAGS_page)) {
            items.add(encodeObject(entry->first, entry->second));
            ++entry;
        }
        JsonObject root;
        root.set("items", items);
        root.set("has_more", entry != objects.end());
        root.set("at", m_revision);
        return respond(200, textOf(root));
    }

    Response watch(const std::string &kind, std::uint64_t from, std::chrono::milliseconds wait)
    {
        std::unique_lock lock(m_mutex);
        const std::uint64_t watchResets = m_watchResets;
        m_changed.wait_for(lock, wait, [&] {
            return m_watchResets != watchResets || from < m_historyFrom || m_failure.isDown || hasChange(kind, from);
        });
        if (m_watchResets != watchResets || m_failure.isDown) {
            return respond(503);
        }
        if (from < m_historyFrom || from > m_revision) {
            return respond(410);
        }
        Array events;
        for (const Change &change : m_history) {
            if (change.kind == kind && change.revision > from) {
                JsonObject event;
                event.set("deleted", change.isRemoved);
                event.set("object", encodeObject(change.name, change.value));
                events.add(event);
            }
        }
        JsonObject root;
        root.set("events", events);
        root.set("at", m_revision);
        return respond(200, textOf(root));
    }

    Response create(const std::string &kind, const std::string &name, const Poco::Dynamic::Var &content)
    {
        const std::lock_guard guard(m_mutex);
        if (m_kinds[kind].contains(name)) {
            return conflict(kind, name);
        }
        m_kinds[kind][name].created = m_revision + 1;
        return write(kind, name, content);
    }

    /// Replaces the object if it is at revision `expected`; 0: at any revision.
    Response
    replace(const std::string &kind, const std::string &name, std::uint64_t expected, const Poco::Dynamic::Var &content)
    {
        const std::lock_guard guard(m_mutex);
        const auto found = m_kinds[kind].find(name);
        if (found == m_kinds[kind].end()) {
            return respond(404);
        }
        if (expected != 0 && found->second.revision != expected) {
            return conflict(kind, name);
        }
        if (found->second.content == content) {
            return read(kind, name);
        }
        return write(kind, name, content);
    }

    Response remove(const std::string &kind, const std::string &name, std::uint64_t expected)
    {
        const std::lock_guard guard(m_mutex);
        const auto found = m_kinds[kind].find(name);
        if (found == m_kinds[kind].end()) {
            return respond(404);
        }
        if (expected != 0 && found->second.revision != expected) {
            return conflict(kind, name);
        }
        found->second.revision = ++m_revision;
        appendToHistory(kind, name, found->second, true);
        const std::string body = textOf(encodeObject(name, found->second));
        m_kinds[kind].erase(found);
        return respond(200, body);
    }

    void compact()
    {
        const std::lock_guard guard(m_mutex);
        m_history.clear();
        m_historyFrom = m_revision;
        ++m_watchResets;
        m_changed.notify_all();
    }

    void copy()
    {
        const std::lock_guard guard(m_mutex);
        m_copy = {m_kinds, m_revision, m_history, m_historyFrom};
    }

    /// Changes after the copy are lost, and their revisions are given out again.
    void restore(bool endsWatches)
    {
        const std::lock_guard guard(m_mutex);
        m_kinds = m_copy.kinds;
        m_revision = m_copy.revision;
        m_history = m_copy.history;
        m_historyFrom = m_copy.historyFrom;
        ++m_era;
        if (endsWatches) {
            ++m_watchResets;
            m_changed.notify_all();
        }
    }

    void advance(std::uint64_t revisions)
    {
        const std::lock_guard guard(m_mutex);
        m_revision += revisions;
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
    bool takeLostResponse()
    {
        const std::lock_guard guard(m_mutex);
        if (m_failure.responsesToLose == 0) {
            return false;
        }
        --m_failure.responsesToLose;
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
    struct Copy {
        std::map<std::string, std::map<std::string, StoredValue>> kinds;
        std::uint64_t revision = 0;
        std::deque<Change> history;
        std::uint64_t historyFrom = 0;
    };

    Response respond(int status, std::string body = {}) const
    {
        return {status, std::move(body), m_era};
    }

    bool hasChange(const std::string &kind, std::uint64_t from) const
    {
        for (const Change &change : m_history) {
            if (change.kind == kind && change.revision > from) {
                return true;
            }
        }
        return false;
    }

    Response read(const std::string &kind, const std::string &name)
    {
        const auto found = m_kinds[kind].find(name);
        return found == m_kinds[kind].end() ? respond(404) : respond(200, textOf(encodeObject(name, found->second)));
    }

    Response conflict(const std::string &kind, const std::string &name)
    {
        return respond(409, read(kind, name).body);
    }

    Response write(const std::string &kind, const std::string &name, const Poco::Dynamic::Var &content)
    {
        StoredValue &value = m_kinds[kind][name];
        value.revision = ++m_revision;
        value.content = content;
        appendToHistory(kind, name, value, false);
        return read(kind, name);
    }

    void appendToHistory(const std::string &kind, const std::string &name, const StoredValue &value, bool isRemoved)
    {
        m_history.push_back({m_revision, kind, name, value, isRemoved});
        if (m_history.size() > static_cast<std::size_t>(FLAGS_history)) {
            m_historyFrom = m_history.front().revision;
            m_history.pop_front();
        }
        m_changed.notify_all();
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, StoredValue>> m_kinds;
    std::uint64_t m_revision = 0;
    std::deque<Change> m_history; ///< All changes after m_historyFrom.
    std::uint64_t m_historyFrom = 0;
    std::uint64_t m_era = 1; ///< Rises by one with each restore.
    Copy m_copy;
    std::uint64_t m_watchResets = 0; ///< A waiting watch ends with 503 if it changes.
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

std::uint64_t numberIn(const std::optional<std::string> &text)
{
    return text ? std::stoull(*text) : 0;
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
        if (failure.isSilent) {
            std::this_thread::sleep_for(SilentTime);
            response.setKeepAlive(false);
            return;
        }
        if (failure.isDown || failure.status != 0) {
            send(response, {failure.isDown ? 503 : failure.status, {}, 0});
            return;
        }
        std::this_thread::sleep_for(failure.delay);
        const bool isWrite = request.getMethod() != "GET";
        if (isWrite && failure.writeDelay.count() > 0) {
            response.setKeepAlive(false);
            // The handler is gone by then.
            const auto applyLate =
                [&store = m_store, method = request.getMethod(), uri = request.getURI(), body, failure] {
                    std::this_thread::sleep_for(failure.writeDelay);
                    run(store, method, Poco::URI(uri), body);
                };
            std::thread(applyLate).detach();
            return;
        }
        const Response answer = run(m_store, request.getMethod(), Poco::URI(request.getURI()), body);
        if (isWrite && m_store.takeLostResponse()) {
            // The write has taken effect, but its response is never sent.
            response.setKeepAlive(false);
            return;
        }
        std::this_thread::sleep_for(failure.holdTime);
        send(response, answer);
    }

private:
    static void send(HTTPServerResponse &response, const Response &answer)
    {
        response.setStatusAndReason(static_cast<HTTPResponse::HTTPStatus>(answer.status));
        response.setContentType("application/json");
        if (answer.era != 0) {
            response.set("Store-Era", std::to_string(answer.era));
        }
        response.sendBuffer(answer.body.data(), answer.body.size());
    }

    static Response run(Store &store, const std::string &method, const Poco::URI &uri, const std::string &body)
    {
        std::vector<std::string> segments;
        uri.getPathSegments(segments);
        if (segments.size() < 2 || segments.size() > 3 || segments[0] != "objects") {
            return {400, {}, 0};
        }
        const std::string &kind = segments[1];
        const std::string name = segments.size() == 3 ? segments[2] : std::string();
        if (method == "GET") {
            return runRead(store, uri, kind, name);
        }
        if (method == "DELETE") {
            store.count("delete");
            return store.remove(kind, name, numberIn(queryValue(uri, "revision")));
        }
        store.count("put");
        try {
            const auto root = Poco::JSON::Parser().parse(body).extract<JsonObject::Ptr>();
            const auto header = root->getObject("metadata");
            if (method == "POST") {
                return store.create(kind, header->getValue<std::string>("name"), root->get("spec"));
            }
            const std::uint64_t expected = header.isNull() ? 0 : header->optValue<Poco::UInt64>("revision", 0);
            return store.replace(kind, name, expected, root->get("spec"));
        } catch (const Poco::Exception &) {
            return {400, {}, 0};
        }
    }

    static Response runRead(Store &store, const Poco::URI &uri, const std::string &kind, const std::string &name)
    {
        if (!name.empty()) {
            store.count("get");
            return store.get(kind, name);
        }
        if (const auto from = queryValue(uri, "watch")) {
            store.count("watch");
            const auto wait = std::chrono::milliseconds(numberIn(queryValue(uri, "wait_ms")));
            return store.watch(kind, std::stoull(*from), wait);
        }
        store.count("list");
        return store.list(kind, queryValue(uri, "after").value_or(""));
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
        } else if (uri.getPath() == "/compact") {
            m_store.compact();
        } else if (uri.getPath() == "/copy") {
            m_store.copy();
        } else if (uri.getPath() == "/restore") {
            m_store.restore(queryValue(uri, "watches") != "keep");
        } else if (uri.getPath() == "/advance") {
            m_store.advance(numberIn(queryValue(uri, "by")));
        } else {
            setFailureMode(uri);
        }
        response.sendBuffer(text.data(), text.size());
    }

private:
    void setFailureMode(const Poco::URI &uri)
    {
        Failure failure;
        failure.isDown = queryValue(uri, "down").has_value();
        failure.isSilent = queryValue(uri, "silent").has_value();
        failure.status = static_cast<int>(numberIn(queryValue(uri, "refuse")));
        failure.delay = std::chrono::milliseconds(numberIn(queryValue(uri, "slow")));
        failure.writeDelay = std::chrono::milliseconds(numberIn(queryValue(uri, "late")));
        failure.holdTime = std::chrono::milliseconds(numberIn(queryValue(uri, "hold")));
        failure.responsesToLose = static_cast<int>(numberIn(queryValue(uri, "lose")));
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
