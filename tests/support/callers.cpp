// Load generator: caller threads that send requests to a fleet in a loop.

#include "tests/support/callers.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <memory>
#include <optional>

namespace fescuepond::test
{

namespace
{

constexpr int StatusOk = 200;
constexpr long ConnectTimeoutSeconds = 2;

using Session = std::unique_ptr<Poco::Net::HTTPClientSession>;

/// Opens a connection to `address`; null if the node accepts none.
Session connect(const std::string &address, std::chrono::milliseconds timeout)
{
    try {
        auto session = std::make_unique<Poco::Net::HTTPClientSession>(Poco::Net::SocketAddress(address));
        session->setKeepAlive(true);
        session->socket().connect(Poco::Net::SocketAddress(address), Poco::Timespan(ConnectTimeoutSeconds, 0));
        session->socket().setNoDelay(true);
        session->setTimeout(Poco::Timespan(std::chrono::microseconds(timeout).count()));
        session->socket().setReceiveTimeout(Poco::Timespan(std::chrono::microseconds(timeout).count()));
        return session;
    } catch (const Poco::Exception &) {
        return nullptr;
    }
}

bool wasClosedWhileIdle(Poco::Net::HTTPClientSession &session)
{
    return session.socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

/// Sends one request; nullopt if no complete response was received.
std::optional<HttpReply> sendRequest(Poco::Net::HTTPClientSession &session, const HttpCall &call)
{
    try {
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setHost(call.host);
        request.setContentLength64(static_cast<Poco::Int64>(call.body.size()));
        session.sendRequest(request) << call.body;
        Poco::Net::HTTPResponse response;
        HttpReply reply;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), reply.body);
        if (response.getContentLength64() >= 0
            && reply.body.size() != static_cast<std::size_t>(response.getContentLength64())) {
            return std::nullopt;
        }
        reply.status = response.getStatus();
        reply.headers["x-fescuepond-outcome"] = response.get("X-Fescuepond-Outcome", "");
        reply.headers["x-fescuepond-reason"] = response.get("X-Fescuepond-Reason", "");
        reply.headers["connection"] = response.getKeepAlive() ? "keep-alive" : "close";
        return reply;
    } catch (const Poco::Exception &) {
        return std::nullopt;
    }
}

} // namespace

int CallCounts::failedTotal() const
{
    int total = 0;
    for (const auto &[what, count] : failed) {
        total += count;
    }
    return total;
}

std::string CallCounts::toString() const
{
    std::string text = "answered=" + std::to_string(answered) + " cut=" + std::to_string(incomplete)
        + " failed=" + std::to_string(failedTotal());
    for (const auto &[what, count] : failed) {
        text += " [" + what + "]=" + std::to_string(count);
    }
    return text;
}

Callers::Callers(HttpCall call, std::vector<std::string> addresses, int threads, std::chrono::milliseconds pause)
    : m_call(std::move(call))
    , m_pause(pause)
    , m_addresses(std::move(addresses))
{
    for (int i = 0; i < threads; ++i) {
        m_threads.emplace_back([this, i] {
            run(static_cast<std::size_t>(i));
        });
    }
}

Callers::~Callers()
{
    stop();
}

void Callers::setAddresses(std::vector<std::string> addresses)
{
    const std::lock_guard guard(m_mutex);
    m_addresses = std::move(addresses);
}

CallCounts Callers::counts() const
{
    const std::lock_guard guard(m_mutex);
    return m_counts;
}

CallCounts Callers::stop()
{
    m_stopped = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    return counts();
}

std::string Callers::address(std::size_t number) const
{
    const std::lock_guard guard(m_mutex);
    return m_addresses[number % m_addresses.size()];
}

void Callers::run(std::size_t number)
{
    Session session;
    while (!m_stopped) {
        if (session && wasClosedWhileIdle(*session)) {
            session.reset();
        }
        if (!session) {
            session = connect(address(number++), m_call.timeout);
            continue;
        }
        const auto reply = sendRequest(*session, m_call);
        count(reply ? reply->status : 0, reply.value_or(HttpReply()));
        if (!reply || reply->headers.at("connection") == "close") {
            session.reset();
        }
        std::this_thread::sleep_for(m_pause);
    }
}

void Callers::count(int status, const HttpReply &reply)
{
    const std::lock_guard guard(m_mutex);
    if (status == StatusOk) {
        ++m_counts.answered;
        return;
    }
    m_counts.lastFailure = std::chrono::steady_clock::now();
    if (status == 0) {
        ++m_counts.incomplete;
        return;
    }
    ++m_counts.failed[std::to_string(status) + " " + reply.outcome() + " " + reply.headers.at("x-fescuepond-reason")];
}

} // namespace fescuepond::test
