// Converts HTTP requests to calls.

#pragma once

#include "core/values/call.h"
#include "modules/http/httpmessage.h"

#include <string>

namespace fescuepond
{

/// The call for an HTTP request, without context. Hop-by-hop headers and the system's internal ones are left out.
CallRequest toCall(const HttpRequest &request, std::string service);

} // namespace fescuepond
