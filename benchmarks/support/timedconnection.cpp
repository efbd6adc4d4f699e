// A caller's keep-alive connection that measures the latency of requests.

#include "benchmarks/support/timedconnection.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <stdexcept>

namespace fescuepond::benchmark
{

TimedConnection::TimedConnection(const std::string &address, std::string service)
    : m_session(Poco::Net::SocketAddress(address))
    , m_service(std::move(service))
{
    m_session.setKeepAlive(true);
}

std::chrono::duration<double, std::micro> TimedConnection::get(const std::string &path)
{
    const auto begin = std::chrono::steady_clock::now();
    Poco::Net::HTTPRequest request("GET", path, Poco::Net::HTTPRequest::HTTP_1_1);
    request.setHost(m_service);
    request.setKeepAlive(true);
    m_session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(m_session.receiveResponse(response), body);
    if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
        throw std::runtime_error("unexpected status " + std::to_string(response.getStatus()) + ": " + body);
    }
    return std::chrono::steady_clock::now() - begin;
}

} // namespace fescuepond::benchmark
