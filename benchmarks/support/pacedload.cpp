// Callers that send requests at a constant rate, each with its own thread and connection.

#include "benchmarks/support/pacedload.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <fmt/format.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace fescuepond::benchmark
{

namespace
{

using Clock = std::chrono::steady_clock;
using Poco::Net::HTTPClientSession;

constexpr long ResponseTimeoutSeconds = 10;

/// Makes the identifiers of requests unique within the process, over several loads.
std::atomic<int> lastIdentifier = 0;

std::unique_ptr<HTTPClientSession> connect(const PacedLoad &load)
{
    auto session = std::make_unique<HTTPClientSession>(Poco::Net::SocketAddress(load.address()));
    session->setKeepAlive(true);
    session->setTimeout(Poco::Timespan(ResponseTimeoutSeconds, 0));
    return session;
}

/// Sends one request; returns whether its response is as expected.
bool sendRequest(HTTPClientSession &session, const PacedLoad &load)
{
    Poco::Net::HTTPRequest request("GET", load.path(), Poco::Net::HTTPRequest::HTTP_1_1);
    request.setHost(load.host());
    request.setKeepAlive(true);
    request.set(load.identifierHeader(), fmt::format("benchmark-{}", ++lastIdentifier));
    try {
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        return response.getStatus() == load.expectedStatus() && body.find(load.expectedText()) != std::string::npos;
    } catch (const Poco::Exception &) {
        // Counted as not expected; the session connects again for the next request.
        session.reset();
        return false;
    }
}

/// Sends the requests of one caller.
LoadCounts sendInTurn(const PacedLoad &load, Clock::time_point due, Clock::duration interval, Clock::time_point end)
{
    LoadCounts counts;
    auto session = connect(load);
    for (; due < end && Clock::now() < end; due += interval) {
        std::this_thread::sleep_until(due);
        if (load.connectsEachTime()) {
            session = connect(load);
        }
        const bool isExpected = sendRequest(*session, load);
        counts = counts.withSent(counts.sent() + 1).withExpected(counts.expected() + (isExpected ? 1 : 0));
    }
    return counts;
}

} // namespace

LoadCounts sendLoad(const PacedLoad &load, std::chrono::duration<double> time)
{
    const auto begin = Clock::now();
    const auto end = begin + std::chrono::duration_cast<Clock::duration>(time);
    const auto spacing = std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1.0 / load.rate()));
    std::vector<LoadCounts> countsByCaller(static_cast<std::size_t>(load.callers()));
    std::vector<std::thread> threads;
    threads.reserve(countsByCaller.size());
    for (int caller = 0; caller < load.callers(); ++caller) {
        threads.emplace_back([&, caller] {
            countsByCaller[static_cast<std::size_t>(caller)] =
                sendInTurn(load, begin + caller * spacing, load.callers() * spacing, end);
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    LoadCounts total;
    for (const LoadCounts &counts : countsByCaller) {
        total = total.withSent(total.sent() + counts.sent()).withExpected(total.expected() + counts.expected());
    }
    return total;
}

} // namespace fescuepond::benchmark
