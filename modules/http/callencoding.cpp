// Converts HTTP requests to calls.

#include "modules/http/callencoding.h"

#include "core/pipeline/headernames.h"

namespace fescuepond
{

namespace
{

std::string withoutSpaces(std::string text)
{
    std::erase_if(text, [](char c) {
        return c == ' ' || c == '\t';
    });
    return text;
}

} // namespace

CallRequest toCall(const HttpRequest &request, std::string service)
{
    Headers headers;
    const std::string connectionOptions = "," + withoutSpaces(toLower(request.header("connection"))) + ",";
    for (const auto &[name, value] : request.headers()) {
        const bool isConnectionHeader =
            isHopByHop(name) || connectionOptions.find("," + name + ",") != std::string::npos;
        const bool isForwarded = !isConnectionHeader && !name.starts_with(header::InternalPrefix) && name != "host";
        if (isForwarded) {
            headers.emplace(name, value);
        }
    }
    return CallRequest()
        .withService(std::move(service))
        .withMethod(request.method())
        .withPath(request.target())
        .withHeaders(std::move(headers))
        .withBody(request.body());
}

} // namespace fescuepond
