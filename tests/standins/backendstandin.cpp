// Stand-in for a backend server, for tests and the demo.
//
// Simulates a number of slots and a service time, calls other services through its node's local listener, reports its
// load, and appends the requests that it runs to a journal: a line "begin CALL METHOD PATH BODY" when a request starts
// and "end CALL" when its response is ready. Special paths:
//     /load         returns the load; the request takes no slot and is not in the journal
//     /crash...     exits the process as soon as the request has started
//     /reject...    responds with status 503 at once; the request takes no slot and is not in the journal
// Control port, POST /set?NAME=VALUE:
//     local=ADDRESS     the node's local listener; if empty, calls to other services wait until it is set
//     service_ms=N      mean service time
//     load=N            load to report instead of the number of slots in use
//     silent=1          run requests, but send no responses until it is 0
//     fail=1            run requests, then respond with status 500

#include "tests/standins/standin.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(address, "127.0.0.1:0", "IP and port for requests.");
DEFINE_string(control, "127.0.0.1:0", "IP and port for control commands.");
DEFINE_string(name, "backend", "Name that responses contain.");
DEFINE_string(local,
              "",
              "Address of the node's local listener, for calls to other services; the control can change it.");
DEFINE_string(downstream, "", "Calls made for each request: 'METHOD SERVICE PATH', separated by ';'.");
DEFINE_string(journal, "", "File to which the journal is appended.");
DEFINE_int32(slots, 60, "Number of requests that run at once; further requests wait.");
DEFINE_int32(service_ms, 5, "Mean service time in ms, exponentially distributed.");
DEFINE_bool(fixed, false, "Give every request exactly the mean service time.");
DEFINE_int32(cold_start_ms, 0, "Time in ms after the start during which the service time is ten times as long.");
DEFINE_uint64(seed, 1, "Seed of the random service times.");
DEFINE_string(copied_header, "", "Name of a request header that every response repeats; empty: none.");
DEFINE_string(response_header, "", "Header of responses to requests that were run, 'NAME: VALUE'; empty: none.");
DEFINE_string(rejection_header, "", "Header of responses to rejected requests, 'NAME: VALUE'; empty: none.");

namespace
{

using Clock = std::chrono::steady_clock;
using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPResponse;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr auto LocalAddressTimeout = std::chrono::seconds(5);
constexpr int ColdStartFactor = 10;
constexpr int ReportUnset = -1;
constexpr const char *CallHeader = "X-Fescuepond-Call";

struct DownstreamCall {
    std::string method;
    std::string service;
    std::string path;
};

std::vector<DownstreamCall> parseDownstream(const std::string &text)
{
    std::vector<DownstreamCall> calls;
    std::istringstream entries(text);
    std::string entry;
    while (std::getline(entries, entry, ';')) {
        std::istringstream words(entry);
        DownstreamCall call;
        words >> call.method >> call.service >> call.path;
        calls.push_back(call);
    }
    return calls;
}

/// Adds the header in `text`, 'NAME: VALUE', unless `text` is empty.
void addHeader(HTTPResponse &response, const std::string &text)
{
    if (const auto colon = text.find(": "); colon != std::string::npos) {
        response.set(text.substr(0, colon), text.substr(colon + 2));
    }
}

/// Journal of the requests that were run. Each line is flushed, so that it survives a crash of the process.
class Journal
{
public:
    explicit Journal(const std::string &path)
    {
        if (!path.empty()) {
            m_file.open(path, std::ios::app);
        }
    }
    void write(const std::string &line)
    {
        const std::lock_guard guard(m_mutex);
        if (m_file.is_open()) {
            m_file << line << std::endl;
        }
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

/// Slots of the simulated backend server, and the service time for which a request occupies one.
class Slots
{
public:
    void acquire()
    {
        std::unique_lock lock(m_mutex);
        m_freed.wait(lock, [this] {
            return m_used < FLAGS_slots;
        });
        ++m_used;
    }
    void release()
    {
        const std::lock_guard guard(m_mutex);
        --m_used;
        m_freed.notify_one();
    }
    int used()
    {
        const std::lock_guard guard(m_mutex);
        return m_used;
    }
    std::chrono::duration<double, std::milli> drawServiceTime()
    {
        const std::lock_guard guard(m_mutex);
        double mean = m_serviceMs;
        if (Clock::now() - m_start < std::chrono::milliseconds(FLAGS_cold_start_ms)) {
            mean *= ColdStartFactor;
        }
        if (FLAGS_fixed || mean == 0) {
            return std::chrono::duration<double, std::milli>(mean);
        }
        return std::chrono::duration<double, std::milli>(std::exponential_distribution<>(1.0 / mean)(m_random));
    }
    void setServiceMs(int milliseconds)
    {
        const std::lock_guard guard(m_mutex);
        m_serviceMs = milliseconds;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_freed;
    int m_used = 0;
    double m_serviceMs = FLAGS_service_ms;
    const Clock::time_point m_start = Clock::now();
    std::mt19937_64 m_random{FLAGS_seed};
};

struct Backend {
    Slots slots;
    Journal journal{FLAGS_journal};
    const std::vector<DownstreamCall> downstream = parseDownstream(FLAGS_downstream);
    std::atomic<int> reportedLoad = ReportUnset;
    std::atomic<bool> isSilent = false;
    std::atomic<bool> isFailing = false;

    /// Waits up to five seconds for the address of the node's local listener, which is not known while the node starts.
    std::string localAddress()
    {
        std::unique_lock lock(m_mutex);
        m_localSet.wait_for(lock, LocalAddressTimeout, [this] {
            return !m_local.empty();
        });
        return m_local;
    }
    void setLocalAddress(const std::string &address)
    {
        const std::lock_guard guard(m_mutex);
        m_local = address;
        m_localSet.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_localSet;
    std::string m_local = FLAGS_local;
};

/// Makes one call through the node's local listener and returns the status; 0 if there was no response.
int callDownstream(const std::string &local, const DownstreamCall &call, const std::string &callId)
{
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(local)};
        Poco::Net::HTTPRequest request(call.method, call.path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setHost(call.service);
        request.set(CallHeader, callId);
        request.setContentLength(0);
        session.sendRequest(request);
        HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        return response.getStatus();
    } catch (const Poco::Exception &) {
        return 0;
    }
}

class RequestHandler final : public HTTPRequestHandler
{
public:
    explicit RequestHandler(Backend &backend)
        : m_backend(backend)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        if (request.getURI() == "/load") {
            sendLoad(response);
            return;
        }
        if (!FLAGS_copied_header.empty() && request.has(FLAGS_copied_header)) {
            response.set(FLAGS_copied_header, request.get(FLAGS_copied_header));
        }
        if (request.getURI().starts_with("/reject")) {
            sendRejection(response);
            return;
        }
        const std::string callId = request.get(CallHeader, "-");
        m_backend.slots.acquire();
        m_backend.journal.write(fmt::format("begin {} {} {} {}", callId, request.getMethod(), request.getURI(), body));
        if (request.getURI().starts_with("/crash")) {
            std::_Exit(1);
        }
        std::this_thread::sleep_for(m_backend.slots.drawServiceTime());
        HTTPResponse::HTTPStatus status = HTTPResponse::HTTP_OK;
        std::string children;
        for (const DownstreamCall &call : m_backend.downstream) {
            const int childStatus = callDownstream(m_backend.localAddress(), call, callId);
            children += fmt::format(" {}={}", call.service, childStatus);
            if (childStatus != HTTPResponse::HTTP_OK) {
                status = HTTPResponse::HTTP_BAD_GATEWAY;
            }
        }
        if (m_backend.isFailing) {
            status = HTTPResponse::HTTP_INTERNAL_SERVER_ERROR;
        }
        m_backend.slots.release();
        m_backend.journal.write(fmt::format("end {}", callId));
        while (m_backend.isSilent) {
            std::this_thread::sleep_for(std::chrono::seconds(1));
        }
        const std::string text =
            fmt::format("{} {} {} {}{}\n", FLAGS_name, request.getMethod(), request.getURI(), body, children);
        response.setStatusAndReason(status);
        response.setContentType("text/plain");
        addHeader(response, FLAGS_response_header);
        response.sendBuffer(text.data(), text.size());
    }

private:
    static void sendRejection(HTTPServerResponse &response)
    {
        const std::string text = "rejected\n";
        response.setStatusAndReason(HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
        addHeader(response, FLAGS_rejection_header);
        response.sendBuffer(text.data(), text.size());
    }

    void sendLoad(HTTPServerResponse &response)
    {
        const int reported = m_backend.reportedLoad;
        const std::string text = fmt::format("{}\n", reported == ReportUnset ? m_backend.slots.used() : reported);
        response.sendBuffer(text.data(), text.size());
    }

    Backend &m_backend;
};

class ControlHandler final : public HTTPRequestHandler
{
public:
    explicit ControlHandler(Backend &backend)
        : m_backend(backend)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        for (const auto &[name, value] : Poco::URI(request.getURI()).getQueryParameters()) {
            if (name == "local") {
                m_backend.setLocalAddress(value);
            } else if (name == "service_ms") {
                m_backend.slots.setServiceMs(std::stoi(value));
            } else if (name == "load") {
                m_backend.reportedLoad = std::stoi(value);
            } else if (name == "silent") {
                m_backend.isSilent = value == "1";
            } else if (name == "fail") {
                m_backend.isFailing = value == "1";
            }
        }
        response.sendBuffer("ok\n", 3);
    }

private:
    Backend &m_backend;
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Backend backend;
    fescuepond::standin::serve<RequestHandler, ControlHandler>(FLAGS_address, FLAGS_control, backend);
}
