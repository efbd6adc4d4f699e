// A caller's keep-alive connection that measures the latency of one request at a time.

#pragma once

#include <Poco/Net/HTTPClientSession.h>

#include <chrono>
#include <string>

namespace fescuepond::benchmark
{

class TimedConnection
{
public:
    /// Connects to the node or backend server at `address`; requests have `service` as their Host.
    TimedConnection(const std::string &address, std::string service);

    /// Sends GET `path` and returns the time until the whole answer was received. Throws unless its status is 200.
    std::chrono::duration<double, std::micro> get(const std::string &path);

private:
    Poco::Net::HTTPClientSession m_session;
    const std::string m_service;
};

} // namespace fescuepond::benchmark
