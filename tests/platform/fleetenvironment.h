// A node in the platform's environment, with the object store's stand-in and a target inside the test process.

#pragma once

#include "core/pipeline/objectstore.h"
#include "tests/platform/targetcalls.h"
#include "tests/support/eventually.h"
#include "tests/support/fleet.h"
#include "tests/support/process.h"

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
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace fescuepond::test
{

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto MaxWait = seconds(10);

inline const std::string desiredState =
    R"({"version":"00000007","routes":{"columns":["name","host","path_prefix","kind",
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
    std::atomic<int> m_workTime = 0; ///< Milliseconds from the arrival of a request to its response.
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
        std::this_thread::sleep_for(milliseconds(m_workTime));
        if (m_noticeName != nullptr) {
            response.set(m_noticeName.load(), m_noticeValue.load());
        }
        response.set("Fescuepond-Attempt-Id", request.get("Fescuepond-Attempt-Id", ""));
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
    explicit FleetEnvironment(const std::string &moreSettings = "")
    {
        m_peerPort.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
        const auto store = connectStore(m_fleet.platform(), seconds(2));
        EXPECT_EQ(store->put("config", "main", desiredState, std::nullopt).status(), StoreStatus::Ok);
        m_settings = m_fleet.folder() + "/node.yaml";
        writeSettings(moreSettings);
        startNode();
        EXPECT_TRUE(eventually(MaxWait, [this] {
            return sendHttp(m_readiness, {.path = "/ready"}).status == 200;
        }));
        // A report counts once the node has found in the store that no earlier process acknowledged a departure.
        EXPECT_FALSE(m_node->waitForLine("event=backend_departures_recovered").empty());
    }

    void TearDown() override
    {
        if (HasFailure()) {
            std::cout << m_node->output();
        }
    }

    /// Starts the node, whose former process has ended, with a log of its own.
    void startNode()
    {
        const char *build = std::getenv("FESCUEPOND_BUILD");
        m_node = std::make_unique<Process>(std::string(build == nullptr ? "build" : build) + "/fescuepond",
                                           std::vector<std::string>{"node", "--settings=" + m_settings},
                                           m_fleet.folder() + "/node-" + std::to_string(++m_starts) + ".log");
        m_node->waitForLine("event=node_started");
        m_entry = addressOf("entry");
        m_readiness = addressOf("readiness");
        m_registration = addressOf("registration");
    }

    /// The bytes of a request that carries `attempt` as its identifier.
    static std::string requestBytes(const std::string &path, const std::string &attempt, int deadlineMs = 1500)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nFescuepond-Attempt-Id: " + attempt
            + "\r\nFescuepond-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n\r\n";
    }

    void writeSettings(const std::string &more) const
    {
        std::ofstream(m_settings) << "environment: fleet\nname: yard-1\nservice: yard\nzone: a\nbackend_reports: true\n"
                                  << "entry_address: 127.0.0.1:0\npeer_address: " << m_peerPort.address().toString()
                                  << '\n'
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
        return sendHttp(m_registration, reportCall({.state = state, .sequence = sequence}));
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

    /// Bound and not listening, so that no other process gets the port while the node is restarted.
    Poco::Net::ServerSocket m_peerPort;
    Fleet m_fleet;
    Target m_target;
    std::string m_settings;
    std::unique_ptr<Process> m_node;
    std::string m_entry;
    std::string m_readiness;
    std::string m_registration;
    int m_starts = 0; ///< Of the node.
};

} // namespace fescuepond::test
