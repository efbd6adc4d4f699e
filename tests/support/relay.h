// A TCP proxy between two processes that injects faults: closed and stalled connections, truncated, duplicated and
// corrupted responses.

#pragma once

#include <condition_variable>
#include <cstddef>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace fescuepond::test
{

/// Directions of the bytes on a connection that a caller opened to the target.
enum class Direction {
    ToTarget,
    ToCaller,
};

class Relay
{
public:
    Relay();
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// IP and port on which the relay listens.
    const std::string &address() const
    {
        return m_address;
    }
    /// Sets where new connections are forwarded to. While the address is empty, new connections are closed at once.
    void setTarget(const std::string &address);

    /// Closes all open connections.
    void closeConnections();
    /// Stops forwarding in one direction on all open connections. They stay open, and new connections are not affected.
    void stall(Direction direction);
    /// Sets whether new connections are accepted but stalled in both directions.
    void setStallsNewConnections(bool isOn);
    /// Ends all stalls. The bytes held back are forwarded, also those of callers that have closed their connection.
    void resume();
    /// Closes each connection once this many bytes were sent to its caller; 0: no limit.
    void truncateResponsesAfter(std::size_t bytes);
    /// Sets whether each chunk of bytes from the target is sent to the caller twice.
    void setDuplicatesResponses(bool isOn);
    /// Replaces `from` by `to`, which has the same length, in bytes from the target; empty: no replacement.
    void corruptResponses(std::string from, std::string to);
    std::size_t connectionCount() const;

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    void forward(const ConnectionPtr &connection, Direction direction);
    /// Waits while the connection is stalled, then applies the faults to the chunk; returns false if the connection
    /// must be closed after it.
    bool transform(Connection &connection, Direction direction, std::string &chunk);

    int m_listener = -1;
    std::string m_address;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_target;
    std::list<ConnectionPtr> m_connections;
    std::size_t m_truncateAfter = 0;
    bool m_duplicatesResponses = false;
    bool m_stallsNewConnections = false;
    std::string m_corruptFrom;
    std::string m_corruptTo;
    bool m_isStopped = false;
    std::thread m_acceptor;
};

} // namespace fescuepond::test
