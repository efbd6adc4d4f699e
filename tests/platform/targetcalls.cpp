// Encodes the calls by which a target tells a node about itself.

#include "tests/platform/targetcalls.h"

#include <fmt/format.h>

namespace fescuepond::test
{

namespace
{

std::string pathOf(const std::string &instance)
{
    return "/instances/" + instance;
}

} // namespace

HttpCall reportCall(const TargetReport &report)
{
    HttpCall call = {.method = "PUT", .path = pathOf(report.instance)};
    call.body = fmt::format(R"({{"service":"yard","address":"x","zone":"{}","version":"v1","slots":8,)"
                            R"("state":"{}","cold_left_s":0,"sequence":{},"born":{}}})",
                            report.zone,
                            report.state,
                            report.sequence,
                            report.born);
    return call;
}

HttpCall deregistrationCall(const std::string &instance)
{
    return {.method = "DELETE", .path = pathOf(instance)};
}

} // namespace fescuepond::test
