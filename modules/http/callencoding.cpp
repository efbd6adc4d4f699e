// Between HTTP requests and calls.

#include "modules/http/callencoding.h"

#include "core/pipeline/headernames.h"

namespace fescuepond
{

CallRequest toCall(const HttpRequest &request, std::string service)
{
    Headers headers;
    for (const auto &[name, value] : request.headers()) {
        const bool isPassedOn = !isHopByHop(name) && !name.starts_with(header::InternalPrefix) && name != "host";
        if (isPassedOn) {
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
