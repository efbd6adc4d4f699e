// Clients that misbehave: each thread of a crowd plays one of them until the crowd is dispersed.

#pragma once

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace fescuepond::test
{

class Crowd
{
public:
    /// Plays one client until `isOver`; called again if it returns before that.
    using Client = std::function<void(int number, const std::atomic<bool> &isOver)>;

    Crowd(int count, Client client);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Ends all clients and waits for them.
    void disperse();

private:
    void play(int number) const;

    const Client m_client;
    std::atomic<bool> m_isOver = false;
    std::vector<std::thread> m_threads;
};

/// A connected socket; a small receive buffer makes the operating system take little of an unread response.
Poco::Net::StreamSocket connectTo(const std::string &address, int receiveBufferBytes = 0);
/// Sends `request`, then reads a few kilobytes of the response now and then. Returns when the connection ends.
void readSlowly(const std::string &address, const std::string &request, const std::atomic<bool> &isOver);
/// Sends `bytes` and leaves the connection open. A client that `reads` returns when the other side closes it.
void leaveOpen(const std::string &address, const std::string &bytes, const std::atomic<bool> &isOver, bool reads);

} // namespace fescuepond::test
