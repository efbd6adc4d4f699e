// A small fleet of real processes on loopback: the platform's stand-in, and nodes each beside a backend stand-in.

#pragma once

#include "tests/support/process.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fescuepond::test
{

struct HttpReply {
    int status = 0; ///< 0: no whole answer came.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    /// How the call ended, by the header X-Fescuepond-Outcome.
    std::string outcome() const;
};

struct HttpCall {
    std::string method = "GET";
    std::string path = "/";
    std::string host; ///< Service; empty: the node's own.
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout{10'000};
};

/// Sends one request on a connection of its own.
HttpReply sendHttp(const std::string &address, const HttpCall &call);

struct NodeOptions {
    std::string name;
    std::string service;
    std::string zone = "zone-a";
    std::vector<std::string> backendFlags; ///< Further flags of the backend stand-in.
    std::vector<std::string> settings; ///< Further lines of the settings file.
    std::string backendAddress; ///< Where the node finds its backend server; empty: at its own address.
    std::string platform; ///< Address of the platform; empty: the fleet's.
    std::string peerAddress = "127.0.0.1:0"; ///< Of the node's peer listener.
};

/// One node and its backend server.
struct FleetNode {
    NodeOptions options;
    std::string front;
    std::string local;
    std::string peer;
    std::string operatorAddress;
    std::string backend;
    std::string backendControl;
    std::string journal; ///< File of what the backend server ran.
    std::unique_ptr<Process> backendProcess;
    std::unique_ptr<Process> process;

    /// Lines of the journal that begin with `prefix`.
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
    /// Sends `query`, such as "down=1" or "lose=1", to the control of the platform's stand-in; empty: works again.
    void setPlatformMode(const std::string &query) const;
    /// Calls that the platform got, by operation.
    std::map<std::string, int> platformCallCounts() const;
    Process &platformProcess()
    {
        return *m_platformProcess;
    }

    /// Runs `fescuepond VERB ...` to its end; returns the exit code and fills `output`.
    int runVerb(const std::vector<std::string> &arguments, std::string *output = nullptr) const;
    /// Publishes one declaration text for each service.
    int publish(const std::vector<std::string> &declarations);

    FleetNode &addNode(const NodeOptions &options);
    /// Starts a node's process again, with the same name and backend server.
    void restartNode(FleetNode &node);
    /// Waits until every running node lists `count` alive members and has a configuration; false after ten seconds.
    bool waitUntilReady(std::size_t count) const;

private:
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
