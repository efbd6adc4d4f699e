// Clients that misbehave.

#include "tests/support/crowd.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <chrono>

namespace fescuepond::test
{

namespace
{

constexpr auto RetryPause = std::chrono::milliseconds(100);
constexpr auto ReadPause = std::chrono::milliseconds(50);
constexpr int SlowReceiveBufferBytes = 32'768;
constexpr int SlowReadBytes = 4'096;
constexpr long PollMicroseconds = 100'000;

} // namespace

Crowd::Crowd(int count, Client client)
    : m_client(std::move(client))
{
    m_threads.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        m_threads.emplace_back([this, i] {
            play(i);
        });
    }
}

Crowd::~Crowd()
{
    disperse();
}

void Crowd::disperse()
{
    m_isOver = true;
    for (std::thread &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void Crowd::play(int number) const
{
    while (!m_isOver) {
        try {
            m_client(number, m_isOver);
        } catch (const Poco::Exception &) {
            // The connection was refused or closed.
        }
        std::this_thread::sleep_for(RetryPause);
    }
}

Poco::Net::StreamSocket connectTo(const std::string &address, int receiveBufferBytes)
{
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress::IPv4);
    if (receiveBufferBytes > 0) {
        // Before connecting, since the window is agreed on then.
        socket.setReceiveBufferSize(receiveBufferBytes);
    }
    socket.connect(Poco::Net::SocketAddress(address));
    return socket;
}

void readSlowly(const std::string &address, const std::string &request, const std::atomic<bool> &isOver)
{
    Poco::Net::StreamSocket socket = connectTo(address, SlowReceiveBufferBytes);
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::array<char, SlowReadBytes> chunk;
    while (!isOver) {
        if (socket.poll(Poco::Timespan(PollMicroseconds), Poco::Net::Socket::SELECT_READ)
            && socket.receiveBytes(chunk.data(), chunk.size()) <= 0) {
            return;
        }
        std::this_thread::sleep_for(ReadPause);
    }
}

void leaveOpen(const std::string &address, const std::string &bytes, const std::atomic<bool> &isOver, bool reads)
{
    Poco::Net::StreamSocket socket = connectTo(address);
    if (!bytes.empty()) {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    std::array<char, SlowReadBytes> chunk;
    while (!isOver) {
        if (!reads) {
            std::this_thread::sleep_for(RetryPause);
        } else if (socket.poll(Poco::Timespan(PollMicroseconds), Poco::Net::Socket::SELECT_READ)
                   && socket.receiveBytes(chunk.data(), chunk.size()) <= 0) {
            return;
        }
    }
}

} // namespace fescuepond::test
