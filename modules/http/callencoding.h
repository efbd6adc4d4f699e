// Between HTTP requests and calls.

#pragma once

#include "core/values/call.h"
#include "modules/http/httpmessage.h"

#include <string>

namespace fescuepond
{

/// The call that a request asks for, without context. Headers of one connection and the system's own are left out.
CallRequest toCall(const HttpRequest &request, std::string service);

} // namespace fescuepond
