// A backend server inside the test process whose responses have a chosen size and that may read requests slowly.

#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace fescuepond::test
{

/// Answers requests whose path begins with /list/ with `listBytes` bytes, and all others with a short text.
class ScriptedBackend
{
public:
    explicit ScriptedBackend(std::size_t listBytes);
    ~ScriptedBackend();
    ScriptedBackend(const ScriptedBackend &) = delete;
    ScriptedBackend &operator=(const ScriptedBackend &) = delete;

    std::string address() const;
    /// Pause after each piece of a request that is read; zero: none.
    void setReadPause(std::chrono::milliseconds pause)
    {
        m_readPause = pause;
    }
    /// Whether a request with this path was run.
    bool hasRun(const std::string &path) const;
    /// The status line of responses, without its end.
    void setStatusLine(const std::string &line);

private:
    void acceptAll();
    void serve(Poco::Net::StreamSocket &socket);
    /// Reads one request and returns its path; empty: the connection has ended.
    std::string readRequest(Poco::Net::StreamSocket &socket, std::string &held) const;
    /// Appends what arrives; false at the end of the connection.
    bool receiveSome(Poco::Net::StreamSocket &socket, std::string &held) const;

    const std::size_t m_listBytes;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_isStopped = false;
    std::atomic<std::chrono::milliseconds> m_readPause{};
    mutable std::mutex m_mutex;
    std::string m_statusLine = "HTTP/1.1 200 OK";
    std::set<std::string> m_paths; ///< Of the requests that were run.
    std::deque<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace fescuepond::test
