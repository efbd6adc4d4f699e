// A TCP relay between two processes that loses, holds up and spoils bytes by command.

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

/// The ways of the bytes on a connection that a caller opened to the target.
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

    /// IP and port on which it listens.
    const std::string &address() const
    {
        return m_address;
    }
    /// Connections are closed at once until a target is set.
    void setTarget(const std::string &address);

    /// Closes all open connections.
    void closeConnections();
    /// Holds up the bytes of all open connections on one direction; the connections stay open, and new ones work.
    void stall(Direction direction);
    /// From now on new connections are accepted and frozen on both ways.
    void setStallsNewConnections(bool isOn);
    /// Lets the bytes that were held up go on, also those of callers that have gone.
    void resume();
    /// From now on each connection ends after this many bytes to the caller; 0: no limit.
    void truncateResponsesAfter(std::size_t bytes);
    /// From now on each chunk of an answer is sent to the caller twice.
    void setDuplicatesResponses(bool isOn);
    /// From now on `from` is replaced by `to`, of the same length, in answers.
    void corruptResponses(std::string from, std::string to);
    std::size_t connectionCount() const;

private:
    struct Connection;
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept();
    void relay(const ConnectionPtr &connection, Direction direction);
    /// Waits while the connection is frozen, then spoils the chunk; false: the connection ends after it.
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
