// A TCP connection over which a test sends raw bytes, for malformed requests that no HTTP library would send.

#pragma once

#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <string>

namespace fescuepond::test
{

class RawConnection
{
public:
    explicit RawConnection(const std::string &address);

    /// Sends `bytes`; returns false if the remote side has closed the connection.
    bool send(const std::string &bytes);
    /// Sends `bytes` one at a time with a pause after each; returns false if the remote side has closed the connection.
    bool sendSlowly(const std::string &bytes, std::chrono::milliseconds pause);
    /// Shuts down the sending direction; receiving goes on.
    void finishSending();
    /// Receives until `text` was received, the connection is closed or `limit` has passed; returns all bytes received
    /// so far.
    const std::string &receiveUntil(const std::string &text, std::chrono::milliseconds limit);
    /// Receives until more than `count` bytes in total were received, the connection is closed or `limit` has passed.
    void receiveMoreThan(std::size_t count, std::chrono::milliseconds limit);
    /// Receives until the remote side closes the connection; returns false if it does not within `limit`.
    bool isClosedWithin(std::chrono::milliseconds limit);
    const std::string &received() const
    {
        return m_received;
    }

private:
    /// Reads once from the socket; returns false if no data arrived within `limit` or the connection is closed.
    bool receiveSome(std::chrono::milliseconds limit);

    Poco::Net::StreamSocket m_socket;
    std::string m_received;
    bool m_closed = false;
};

} // namespace fescuepond::test
