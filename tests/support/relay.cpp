// A TCP proxy between two processes that injects faults.

#include "tests/support/relay.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace fescuepond::test
{

namespace
{

constexpr int Backlog = 128;
constexpr std::size_t ChunkBytes = 65'536;

sockaddr_in toSocketAddress(const std::string &address)
{
    const auto colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace

struct Relay::Connection {
    int m_caller = -1;
    int m_target = -1;
    std::array<bool, 2> m_isStalled{}; ///< Indexed by Direction.
    std::size_t m_bytesToCaller = 0;
    bool m_isClosed = false;
    std::array<std::thread, 2> m_threads;

    ~Connection()
    {
        ::close(m_caller);
        ::close(m_target);
    }
    void shutDown() const
    {
        ::shutdown(m_caller, SHUT_RDWR);
        ::shutdown(m_target, SHUT_RDWR);
    }
};

Relay::Relay()
{
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = toSocketAddress("127.0.0.1:0");
    socklen_t size = sizeof(address);
    const bool isListening = ::bind(m_listener, reinterpret_cast<sockaddr *>(&address), size) == 0
        && ::listen(m_listener, Backlog) == 0
        && ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    if (!isListening) {
        throw std::runtime_error("the relay cannot listen on a port of 127.0.0.1");
    }
    m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    m_acceptor = std::thread([this] {
        accept();
    });
}

Relay::~Relay()
{
    {
        const std::lock_guard guard(m_mutex);
        m_isStopped = true;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    closeConnections();
    for (const ConnectionPtr &connection : m_connections) {
        for (std::thread &thread : connection->m_threads) {
            thread.join();
        }
    }
    ::close(m_listener);
}

void Relay::setTarget(const std::string &address)
{
    const std::lock_guard guard(m_mutex);
    m_target = address;
}

void Relay::closeConnections()
{
    const std::lock_guard guard(m_mutex);
    for (const ConnectionPtr &connection : m_connections) {
        connection->m_isClosed = true;
        connection->shutDown();
    }
    m_changed.notify_all();
}

void Relay::stall(Direction direction)
{
    const std::lock_guard guard(m_mutex);
    for (const ConnectionPtr &connection : m_connections) {
        connection->m_isStalled[static_cast<std::size_t>(direction)] = true;
    }
}

void Relay::setStallsNewConnections(bool isOn)
{
    const std::lock_guard guard(m_mutex);
    m_stallsNewConnections = isOn;
}

void Relay::resume()
{
    const std::lock_guard guard(m_mutex);
    for (const ConnectionPtr &connection : m_connections) {
        connection->m_isStalled = {};
    }
    m_changed.notify_all();
}

void Relay::truncateResponsesAfter(std::size_t bytes)
{
    const std::lock_guard guard(m_mutex);
    m_truncateAfter = bytes;
}

void Relay::setDuplicatesResponses(bool isOn)
{
    const std::lock_guard guard(m_mutex);
    m_duplicatesResponses = isOn;
}

void Relay::corruptResponses(std::string from, std::string to)
{
    const std::lock_guard guard(m_mutex);
    m_corruptFrom = std::move(from);
    m_corruptTo = std::move(to);
}

std::size_t Relay::connectionCount() const
{
    const std::lock_guard guard(m_mutex);
    return m_connections.size();
}

void Relay::accept()
{
    while (true) {
        const int caller = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        const std::lock_guard guard(m_mutex);
        if (m_isStopped || caller < 0) {
            ::close(caller);
            return;
        }
        auto connection = std::make_shared<Connection>();
        connection->m_caller = caller;
        connection->m_target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        setNoDelay(caller);
        setNoDelay(connection->m_target);
        if (m_target.empty()) {
            continue;
        }
        const sockaddr_in target = toSocketAddress(m_target);
        if (::connect(connection->m_target, reinterpret_cast<const sockaddr *>(&target), sizeof(target)) != 0) {
            continue;
        }
        connection->m_isStalled = {m_stallsNewConnections, m_stallsNewConnections};
        m_connections.push_back(connection);
        for (const Direction direction : {Direction::ToTarget, Direction::ToCaller}) {
            connection->m_threads[static_cast<std::size_t>(direction)] = std::thread([this, connection, direction] {
                forward(connection, direction);
            });
        }
    }
}

void Relay::forward(const ConnectionPtr &connection, Direction direction)
{
    const int from = direction == Direction::ToTarget ? connection->m_caller : connection->m_target;
    const int to = direction == Direction::ToTarget ? connection->m_target : connection->m_caller;
    std::string buffer(ChunkBytes, '\0');
    bool isOpen = true;
    while (isOpen) {
        const ssize_t count = ::recv(from, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            break;
        }
        std::string chunk = buffer.substr(0, static_cast<std::size_t>(count));
        isOpen = transform(*connection, direction, chunk) && sendAll(to, chunk);
    }
    // End-of-stream is stalled as data is: with an empty chunk, transform() only waits until the connection is not
    // stalled.
    std::string nothing;
    transform(*connection, direction, nothing);
    if (isOpen) {
        ::shutdown(to, SHUT_WR);
    } else {
        connection->shutDown();
    }
}

bool Relay::transform(Connection &connection, Direction direction, std::string &chunk)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] {
        return connection.m_isClosed || !connection.m_isStalled[static_cast<std::size_t>(direction)];
    });
    if (connection.m_isClosed) {
        chunk.clear();
        return false;
    }
    if (direction == Direction::ToTarget || chunk.empty()) {
        return true;
    }
    const auto corruptAt = m_corruptFrom.empty() ? std::string::npos : chunk.find(m_corruptFrom);
    if (corruptAt != std::string::npos) {
        chunk.replace(corruptAt, m_corruptTo.size(), m_corruptTo);
    }
    if (m_duplicatesResponses) {
        chunk += chunk;
    }
    if (m_truncateAfter > 0 && connection.m_bytesToCaller + chunk.size() >= m_truncateAfter) {
        const std::size_t remainingBytes = m_truncateAfter - std::min(m_truncateAfter, connection.m_bytesToCaller);
        chunk.resize(std::min(chunk.size(), remainingBytes));
        connection.m_bytesToCaller += chunk.size();
        sendAll(connection.m_caller, chunk);
        return false;
    }
    connection.m_bytesToCaller += chunk.size();
    return true;
}

} // namespace fescuepond::test
