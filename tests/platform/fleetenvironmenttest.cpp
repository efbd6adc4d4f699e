// End-to-end path of a request in the platform's environment, with a real node process, the object store's stand-in and
// a target inside the test process. Guards against requests that reach a target before it has reported or after it has
// deregistered, against a retry of a non-idempotent request that may have been run, against internal headers that a
// caller forges, and against a node that is reported as ready while it drains.

#include "core/pipeline/objectstore.h"
#include "tests/support/eventually.h"
#include "tests/support/fleet.h"
#include "tests/support/process.h"
#include "tests/support/rawconnection.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/StreamCopier.h>

#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <mutex>
#include <thread>

namespace fescuepond::test
{

namespace
{

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto MaxWait = seconds(10);

const std::string desiredState = R"({"version":"00000007","routes":{"columns":["name","host","path_prefix","kind",
"timeout_s","aim_s","priority","traffic_split","max_attempts","service"],"rows":[
["r-read","a.example","/read/","safe",2,1,1,null,2,"yard"],["r-book","a.example","/book/","unsafe",2,1,0,null,1,"yard"]]},
"services":{"columns":["name"],"rows":[["yard"]]},"limits":{}})";

/// A target that follows the platform's protocol. Echoes the request body and keeps the headers of the latest request.
class Target
{
public:
    Target()
        : m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_server(new Factory(*this), m_socket, new Poco::Net::HTTPServerParams)
    {
        m_server.start();
    }
    ~Target()
    {
        m_server.stopAll(true);
    }

    std::string address() const
    {
        return m_socket.address().toString();
    }
    std::string header(const std::string &name) const
    {
        const std::lock_guard guard(m_mutex);
        const auto found = m_headers.find(name);
        return found == m_headers.end() ? "" : found->second;
    }

    std::atomic<int> m_requests = 0;
    std::atomic<bool> m_rejects = false; ///< Responds that it has not run the request.
    std::atomic<bool> m_omitsSignature = false; ///< Leaves the signature out of its responses.
    std::atomic<bool> m_holdsRequests = false; ///< Holds requests until their connection is closed, without responding.
    std::atomic<const char *> m_noticeName = nullptr; ///< A header of its responses; null: none.
    std::atomic<const char *> m_noticeValue = "";
    std::atomic<bool> m_wasDisconnected = false; ///< The node has closed the connection of a held request.

private:
    class Handler final : public HTTPRequestHandler
    {
    public:
        explicit Handler(Target &target)
            : m_target(target)
        {
        }
        void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
        {
            m_target.serve(request, response);
        }

    private:
        Target &m_target;
    };

    class Factory final : public Poco::Net::HTTPRequestHandlerFactory
    {
    public:
        explicit Factory(Target &target)
            : m_target(target)
        {
        }
        HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
        {
            return new Handler(m_target);
        }

    private:
        Target &m_target;
    };

    void serve(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        ++m_requests;
        {
            const std::lock_guard guard(m_mutex);
            m_headers.clear();
            for (const auto &[name, value] : request) {
                m_headers[name] = value;
            }
        }
        if (m_holdsRequests) {
            holdRequest(request);
            return;
        }
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        if (m_noticeName != nullptr) {
            response.set(m_noticeName.load(), m_noticeValue.load());
        }
        response.set("Fescuepond-Attempt-Id", header("fescuepond-attempt-id"));
        if (m_rejects) {
            response.setStatus("503");
            response.set("Fescuepond-Not-Executed", "1");
        } else if (!m_omitsSignature) {
            response.set("Fescuepond-Response-Signature", "s");
        }
        response.sendBuffer(body.data(), body.size());
    }

    void holdRequest(HTTPServerRequest &request)
    {
        auto &socket = static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
        m_wasDisconnected = socket.poll(Poco::Timespan(5, 0), Poco::Net::Socket::SELECT_READ);
    }

    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_headers;
    Poco::Net::ServerSocket m_socket;
    Poco::Net::HTTPServer m_server;
};

class FleetEnvironment : public testing::Test
{
protected:
    FleetEnvironment()
    {
        const auto store = connectStore(m_fleet.platform(), seconds(2));
        EXPECT_EQ(store->put("config", "main", desiredState, 0).status(), StoreStatus::Ok);
        const std::string base = m_fleet.folder() + "/node";
        m_settings = base + ".yaml";
        writeSettings("");
        const char *build = std::getenv("FESCUEPOND_BUILD");
        m_node = std::make_unique<Process>(std::string(build == nullptr ? "build" : build) + "/fescuepond",
                                           std::vector<std::string>{"node", "--settings=" + m_settings},
                                           base + ".log");
        m_node->waitForLine("event=node_started");
        m_entry = addressOf("entry");
        m_readiness = addressOf("readiness");
        m_registration = addressOf("registration");
        EXPECT_TRUE(eventually(MaxWait, [this] {
            return sendHttp(m_readiness, {.path = "/ready"}).status == 200;
        }));
    }

    void writeSettings(const std::string &more) const
    {
        std::ofstream(m_settings) << "environment: fleet\nname: yard-1\nservice: yard\nzone: a\nbackend_reports: true\n"
                                  << "entry_address: 127.0.0.1:0\npeer_address: 127.0.0.1:0\n"
                                  << "readiness_address: 127.0.0.1:0\nregistration_address: 127.0.0.1:0\n"
                                  << "operator_address: 127.0.0.1:0\nleave_grace_ms: 200\ndrain_timeout_ms: 3000\n"
                                  << "backend_address: " << m_target.address() << '\n'
                                  << "platform_address: " << m_fleet.platform() << '\n'
                                  << more;
    }

    std::string addressOf(const std::string &listener) const
    {
        return valueIn(m_node->waitForLine("event=listening listener=" + listener), "address");
    }

    HttpReply report(int sequence, const std::string &state) const
    {
        const std::string body = R"({"service":"yard","address":"x","zone":"a","version":"v1","slots":8,"state":")"
            + state + R"(","cold_left_s":0,"sequence":)" + std::to_string(sequence) + R"(,"born":1700000000000})";
        return sendHttp(m_registration, {.method = "PUT", .path = "/instances/i-1", .body = body});
    }

    HttpReply send(const std::string &path, const std::string &body = "") const
    {
        HttpCall call;
        call.method = body.empty() ? "GET" : "POST";
        call.path = path;
        call.host = "a.example";
        call.body = body;
        call.headers = {{"Fescuepond-Attempt-Id", "a1"},
                        {"Fescuepond-Deadline-Ms", "1500"},
                        {"Fescuepond-Caller-Service", "forged"},
                        {"Fescuepond-Expect-Instance", "forged"}};
        call.timeout = seconds(5);
        return sendHttp(m_entry, call);
    }

    Fleet m_fleet;
    Target m_target;
    std::string m_settings;
    std::unique_ptr<Process> m_node;
    std::string m_entry;
    std::string m_readiness;
    std::string m_registration;
};

} // namespace

TEST_F(FleetEnvironment, TimeThatARequestWaitsToBeReadIsNotGivenToTheTarget)
{
    EXPECT_EQ(report(1, "ready").status, 200);
    // Incomplete requests occupy all workers that read requests.
    std::vector<std::unique_ptr<RawConnection>> slow;
    for (int i = 0; i < 64; ++i) {
        slow.push_back(std::make_unique<RawConnection>(m_entry));
        slow.back()->send("GET /read/slow HTTP/1.1\r\n");
    }
    std::this_thread::sleep_for(milliseconds(100));
    auto reply = std::async(std::launch::async, [this] {
        return send("/read/x");
    });
    std::this_thread::sleep_for(milliseconds(800));
    slow.clear();
    EXPECT_EQ(reply.get().status, 200);
    EXPECT_LE(std::stoi(m_target.header("Fescuepond-Deadline-Ms")), 700);
}

TEST_F(FleetEnvironment, ARequestReachesTheTargetOnceItHasReported)
{
    EXPECT_EQ(send("/read/x").status, 503);
    EXPECT_EQ(m_target.m_requests, 0);
    EXPECT_EQ(report(1, "ready").status, 200);
    const HttpReply reply = send("/read/x", "body");
    EXPECT_EQ(reply.status, 200);
    EXPECT_EQ(reply.body, "body");
    EXPECT_EQ(reply.headers.at("fescuepond-response-signature"), "s");
    EXPECT_EQ(m_target.header("fescuepond-attempt-id"), "a1");
    EXPECT_EQ(m_target.header("Fescuepond-Caller-Service"), "yard");
    EXPECT_EQ(m_target.header("Fescuepond-Expect-Instance"), "i-1");
    EXPECT_LE(std::stoi(m_target.header("Fescuepond-Deadline-Ms")), 1500);
    EXPECT_EQ(m_target.header("Host"), "a.example");
    EXPECT_EQ(send("/nowhere/x").status, 404);
}

TEST_F(FleetEnvironment, AReportThatCannotBeReadChangesNothing)
{
    EXPECT_EQ(sendHttp(m_registration, {.method = "PUT", .path = "/instances/i-1", .body = "{\"state\":"}).status, 400);
    EXPECT_EQ(send("/read/x").status, 503);
    EXPECT_EQ(m_target.m_requests, 0);
}

TEST_F(FleetEnvironment, OnlyRequestsNotRunGetRetryAfter)
{
    report(1, "ready");
    m_target.m_rejects = true;
    const HttpReply rejected = send("/book/x", "body");
    EXPECT_EQ(rejected.status, 503);
    EXPECT_EQ(rejected.headers.count("retry-after"), 1);
    EXPECT_EQ(rejected.headers.count("fescuepond-response-signature"), 0);
    m_target.m_rejects = false;
    // A request whose success response has no signature may have been run, so it is not retried.
    m_target.m_omitsSignature = true;
    const int before = m_target.m_requests;
    EXPECT_EQ(send("/book/x", "body").status, 502);
    EXPECT_EQ(m_target.m_requests, before + 1);
}

TEST_F(FleetEnvironment, ATargetGetsNoMoreRequestsThanTheLimitThatItNames)
{
    EXPECT_EQ(report(1, "ready").status, 200);
    m_target.m_noticeName = "Server-Limit";
    m_target.m_noticeValue = "10";
    EXPECT_EQ(send("/read/first").status, 200);
    std::vector<std::future<HttpReply>> replies;
    for (int i = 0; i < 100; ++i) {
        replies.push_back(std::async(std::launch::async, [this] {
            return send("/read/x");
        }));
        std::this_thread::sleep_for(milliseconds(20));
    }
    int refused = 0;
    for (auto &reply : replies) {
        refused += reply.get().status == 503 ? 1 : 0;
    }
    // 2 s of sending, and 1 s in which requests that are queued still start.
    EXPECT_LE(m_target.m_requests, 1 + 10 * 3 + 3);
    EXPECT_GE(m_target.m_requests, 20);
    EXPECT_EQ(refused, 101 - m_target.m_requests);
    m_target.m_noticeName = nullptr;
    EXPECT_TRUE(eventually(MaxWait, [this] {
        return send("/read/y").status == 200;
    }));
    for (int i = 0; i < 20; ++i) {
        EXPECT_EQ(send("/read/z").status, 200) << "the limit has ended";
    }
}

TEST_F(FleetEnvironment, ATargetThatSaysThatItLeavesGetsNoNewRequests)
{
    EXPECT_EQ(report(1, "ready").status, 200);
    m_target.m_noticeName = "Server-Leaving";
    m_target.m_noticeValue = "1";
    EXPECT_EQ(send("/read/x").status, 200);
    // Its reports don't take that back.
    EXPECT_EQ(report(2, "ready").status, 200);
    std::this_thread::sleep_for(seconds(2));
    const int before = m_target.m_requests;
    EXPECT_EQ(send("/read/y").status, 503);
    EXPECT_EQ(m_target.m_requests, before);
}

TEST_F(FleetEnvironment, ATargetThatDeregistersGetsNoNewRequests)
{
    report(1, "ready");
    EXPECT_EQ(send("/read/x").status, 200);
    EXPECT_EQ(sendHttp(m_registration, {.method = "DELETE", .path = "/instances/i-1"}).status, 200);
    std::this_thread::sleep_for(seconds(2));
    const int before = m_target.m_requests;
    EXPECT_EQ(send("/read/x").status, 503);
    EXPECT_EQ(m_target.m_requests, before);
}

TEST_F(FleetEnvironment, ACallerThatDisconnectsCancelsIdempotentWork)
{
    report(1, "ready");
    m_target.m_holdsRequests = true;
    HttpCall call;
    call.path = "/read/x";
    call.host = "a.example";
    call.headers = {{"Fescuepond-Attempt-Id", "a1"}, {"Fescuepond-Deadline-Ms", "20000"}};
    call.timeout = milliseconds(400);
    EXPECT_EQ(sendHttp(m_entry, call).status, 0);
    EXPECT_TRUE(eventually(MaxWait, [this] {
        return m_target.m_wasDisconnected.load();
    }));
}

TEST_F(FleetEnvironment, ChangedSettingsAreReportedAndNoWorkIsInterrupted)
{
    report(1, "ready");
    writeSettings("http_threads: 33\n");
    m_node->signal(SIGHUP);
    EXPECT_NE(m_node->waitForLine("event=settings_changed").find("keys=http_threads"), std::string::npos);
    EXPECT_EQ(send("/read/x").status, 200);
    writeSettings("http_threads: many\n");
    m_node->signal(SIGHUP);
    EXPECT_NE(m_node->waitForLine("event=settings_unusable").find("http_threads"), std::string::npos);
    EXPECT_EQ(send("/read/x").status, 200);
}

TEST_F(FleetEnvironment, ANodeThatDrainsIsNotReadyAndExitsCleanly)
{
    report(1, "ready");
    m_node->signal(SIGTERM);
    EXPECT_TRUE(eventually(MaxWait, [this] {
        return sendHttp(m_readiness, {.path = "/ready"}).status != 200;
    }));
    EXPECT_EQ(m_node->wait(MaxWait), std::optional<int>(0));
}

} // namespace fescuepond::test
