// A TCP connection over which a test sends raw bytes.

#include "tests/support/rawconnection.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <thread>

namespace fescuepond::test
{

namespace
{

constexpr std::size_t ChunkBytes = 65536;
using Clock = std::chrono::steady_clock;

std::chrono::milliseconds remainingUntil(Clock::time_point end)
{
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::duration_cast<std::chrono::milliseconds>(end - Clock::now()));
}

} // namespace

RawConnection::RawConnection(const std::string &address)
    : m_socket(Poco::Net::SocketAddress(address))
{
    m_socket.setNoDelay(true);
}

bool RawConnection::send(const std::string &bytes)
{
    try {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            sent += static_cast<std::size_t>(
                m_socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
        return true;
    } catch (const Poco::Exception &) {
        return false;
    }
}

bool RawConnection::sendSlowly(const std::string &bytes, std::chrono::milliseconds pause)
{
    for (const char byte : bytes) {
        if (!send(std::string(1, byte))) {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return true;
}

void RawConnection::finishSending()
{
    m_socket.shutdownSend();
}

const std::string &RawConnection::receiveUntil(const std::string &text, std::chrono::milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (m_received.find(text) == std::string::npos && receiveSome(remainingUntil(end))) { }
    return m_received;
}

void RawConnection::receiveMoreThan(std::size_t count, std::chrono::milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (m_received.size() <= count && receiveSome(remainingUntil(end))) { }
}

bool RawConnection::isClosedWithin(std::chrono::milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (receiveSome(remainingUntil(end))) { }
    return m_closed;
}

bool RawConnection::receiveSome(std::chrono::milliseconds limit)
{
    if (m_closed) {
        return false;
    }
    try {
        const Poco::Timespan wait(std::chrono::microseconds(limit).count());
        if (!m_socket.poll(wait, Poco::Net::Socket::SELECT_READ)) {
            return false;
        }
        std::array<char, ChunkBytes> chunk;
        const int count = m_socket.receiveBytes(chunk.data(), chunk.size());
        m_received.append(chunk.data(), static_cast<std::size_t>(std::max(count, 0)));
        m_closed = count <= 0;
    } catch (const Poco::Exception &) {
        m_closed = true;
    }
    return !m_closed;
}

} // namespace fescuepond::test
