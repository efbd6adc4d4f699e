// HTTP client that the verbs use to call the operator listener of a node.

#include "modules/verbs/operatorclient.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <chrono>

DEFINE_int32(timeout_ms, 3000, "Maximum wait for the response of one node, in milliseconds.");

namespace fescuepond
{

namespace
{

constexpr int MinErrorStatus = 400;

} // namespace

std::optional<std::string>
requestOperatorListener(const std::string &address, const std::string &method, const std::string &path)
{
    try {
        Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
        session.setTimeout(
            Poco::Timespan(std::chrono::microseconds(std::chrono::milliseconds(FLAGS_timeout_ms)).count()));
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPRequest::HTTP_1_1);
        request.setContentLength(0);
        session.sendRequest(request);
        Poco::Net::HTTPResponse response;
        std::string body;
        Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
        if (response.getStatus() < MinErrorStatus) {
            return body;
        }
        fmt::print(
            stderr, "{}: {} {} returned status {}\n", address, method, path, static_cast<int>(response.getStatus()));
    } catch (const Poco::Exception &error) {
        fmt::print(stderr, "{}: no answer: {}\n", address, error.displayText());
    }
    return std::nullopt;
}

} // namespace fescuepond
