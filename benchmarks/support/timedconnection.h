// A caller's keep-alive connection on which requests are timed one after another.

#pragma once

#include <Poco/Net/HTTPClientSession.h>

#include <chrono>
#include <string>

namespace fescuepond::benchmark
{

class TimedConnection
{
public:
    /// Requests on it go to the node or backend server at `address` and name `service` as their host.
    TimedConnection(const std::string &address, std::string service);

    /// Sends GET `path` and returns how long the whole answer took. Throws when it isn't 200.
    std::chrono::duration<double, std::micro> get(const std::string &path);

private:
    Poco::Net::HTTPClientSession m_session;
    const std::string m_service;
};

} // namespace fescuepond::benchmark
