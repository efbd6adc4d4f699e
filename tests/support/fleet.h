// Runs a small fleet of real processes on loopback: the platform's stand-in, and nodes, each with a backend stand-in.

#pragma once

#include "tests/support/process.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fescuepond::test
{

struct HttpReply {
    int status = 0; ///< 0: no complete response was received.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    /// Value of the header X-Fescuepond-Outcome; empty if the response has none.
    std::string outcome() const;
};

struct HttpCall {
    std::string method = "GET";
    std::string path = "/";
    std::string host; ///< Service that is called; empty: the node's own service.
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout{10'000};
};

/// Sends one request on a new connection.
HttpReply sendHttp(const std::string &address, const HttpCall &call);

struct NodeOptions {
    std::string name;
    std::string service;
    std::string zone = "zone-a";
    std::vector<std::string> backendFlags; ///< Additional flags of the backend stand-in.
    std::vector<std::string> settings; ///< Additional lines of the node's settings file.
    std::string backendAddress; ///< Address at which the node calls its backend server; empty: the stand-in's.
    bool startsBackend = true; ///< Whether the node gets a stand-in of its own; if not, backendAddress is set.
    std::string platform; ///< Address of the platform; empty: the stand-in of the fleet.
    std::string peerAddress = "127.0.0.1:0"; ///< Address of the node's peer listener.
};

/// One node and its backend server. Addresses are IP and port.
struct FleetNode {
    NodeOptions options;
    std::string front; ///< Address of the front listener.
    std::string local; ///< Address of the local listener.
    std::string peer; ///< Address of the peer listener.
    std::string operatorAddress; ///< Address of the operator listener.
    std::string backend; ///< Address of the backend stand-in.
    std::string backendControl; ///< Address of the control port of the backend stand-in.
    std::string journal; ///< File in which the backend stand-in logs the requests that it ran.
    std::unique_ptr<Process> backendProcess;
    std::unique_ptr<Process> process;

    /// Returns the lines of the journal that start with `prefix`.
    std::vector<std::string> journalLines(const std::string &prefix) const;
};

class Fleet
{
public:
    Fleet();
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    const std::string &folder() const
    {
        return m_folder;
    }
    const std::string &platform() const
    {
        return m_platform;
    }
    /// Sets a fault of the platform's stand-in, such as "down=1" or "lose=1"; an empty query ends all faults.
    void setPlatformMode(const std::string &query) const;
    /// Sends `command` to the control port of the platform's stand-in, for example "/copy" or "/restore".
    void controlPlatform(const std::string &command) const;
    /// Number of calls that the platform received, by operation.
    std::map<std::string, int> platformCallCounts() const;
    Process &platformProcess()
    {
        return *m_platformProcess;
    }

    /// Runs `fescuepond VERB ...` until it exits; returns the exit code, -1 if it ran into the time limit, and stores
    /// what it printed in `output`.
    int runVerb(const std::vector<std::string> &arguments, std::string *output = nullptr) const;
    /// Publishes `declarations`, one text per service, as the whole configuration; returns the exit code.
    int publish(const std::vector<std::string> &declarations);

    /// Starts a node and, unless its options say otherwise, a backend stand-in for it.
    FleetNode &addNode(const NodeOptions &options);
    /// Kills the node's process if it runs, and starts it again with the same name and backend server.
    void restartNode(FleetNode &node);
    /// Waits until every running node lists `count` alive members and has a configuration; returns false after ten
    /// seconds.
    bool waitUntilReady(std::size_t count) const;
    /// The same, whether or not the members serve.
    bool waitUntilListed(std::size_t count) const;

private:
    /// Waits until the condition holds for each running node; returns false after ten seconds.
    bool waitForNodes(const std::function<bool(const FleetNode &node)> &condition) const;
    void startBackend(FleetNode &node);
    void startNode(FleetNode &node);

    std::string m_folder;
    std::string m_platform;
    std::string m_platformControl;
    std::unique_ptr<Process> m_platformProcess;
    std::vector<std::unique_ptr<FleetNode>> m_nodes;
    int m_processCount = 0;
    int m_publishCount = 0;
};

} // namespace fescuepond::test
