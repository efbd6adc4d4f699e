// A TCP connection over which a test sends bytes as they are, for requests that no library would send.

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

    /// Sends `bytes`; false when the other side has closed.
    bool send(const std::string &bytes);
    /// Sends `bytes` one at a time with a pause after each; false when the other side has closed.
    bool sendSlowly(const std::string &bytes, std::chrono::milliseconds pause);
    /// Sends no more, but goes on receiving.
    void finishSending();
    /// Receives until `text` has come, the connection is closed or `limit` has passed; returns all received so far.
    const std::string &receiveUntil(const std::string &text, std::chrono::milliseconds limit);
    /// Receives until more than `count` bytes have come in all, or `limit` has passed.
    void receiveMoreThan(std::size_t count, std::chrono::milliseconds limit);
    /// Receives until the other side closes; false when it hasn't within `limit`.
    bool isClosedWithin(std::chrono::milliseconds limit);
    const std::string &received() const
    {
        return m_received;
    }

private:
    /// Receives some bytes; false when none came in time or the connection is closed.
    bool receiveSome(std::chrono::milliseconds limit);

    Poco::Net::StreamSocket m_socket;
    std::string m_received;
    bool m_closed = false;
};

} // namespace fescuepond::test
