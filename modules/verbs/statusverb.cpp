// `fescuepond status`: prints the status of nodes as a table or as JSON.

#include "core/verbs/verb.h"
#include "modules/verbs/operatorclient.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <iostream>

DEFINE_bool(json, false, "Print one JSON array instead of a table.");

namespace fescuepond
{

namespace
{

constexpr double BytesPerMegabyte = 1e6;
constexpr const char *RowFormat = "{:<24} {:<16} {:<12} {:<10} {:>13} {:>9} {:>8} {:>7} {:>8} {:>9}\n";

/// A value as text, or a dash if the node doesn't report it, as older versions do not.
std::string text(const Poco::JSON::Object &status, const std::string &key)
{
    return status.has(key) ? status.get(key).convert<std::string>() : "-";
}

std::string megabytes(const Poco::JSON::Object &status, const std::string &key)
{
    return status.has(key) ? fmt::format("{:.1f}", status.getValue<double>(key) / BytesPerMegabyte) : "-";
}

void printHeader()
{
    fmt::print(fmt::runtime(RowFormat),
               "node",
               "service",
               "zone",
               "state",
               "configuration",
               "in flight",
               "members",
               "cpu s",
               "rss MB",
               "platform");
}

void printRow(const Poco::JSON::Object &status)
{
    const auto members = status.getArray("members");
    fmt::print(fmt::runtime(RowFormat),
               text(status, "name"),
               text(status, "service"),
               text(status, "zone"),
               text(status, "state"),
               text(status, "configuration_version"),
               text(status, "calls_in_flight"),
               members.isNull() ? 0 : members->size(),
               status.has("processor_seconds") ? fmt::format("{:.1f}", status.getValue<double>("processor_seconds"))
                                               : "-",
               megabytes(status, "resident_bytes"),
               text(status, "platform_calls"));
}

/// Fetches the status of the node at `address`. On failure, prints the reason and returns null.
Poco::JSON::Object::Ptr fetchStatus(const std::string &address)
{
    const auto body = requestOperatorListener(address, "GET", "/status");
    if (!body) {
        return nullptr;
    }
    try {
        return Poco::JSON::Parser().parse(*body).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &error) {
        fmt::print(stderr, "{}: invalid status: {}\n", address, error.displayText());
        return nullptr;
    }
}

ExitCode run(const Arguments &addresses)
{
    if (addresses.empty()) {
        fmt::print(stderr, "usage: fescuepond status [--json] OPERATOR_ADDRESS...\n");
        return ExitCode::Usage;
    }
    ExitCode code = ExitCode::Done;
    Poco::JSON::Array all;
    for (const std::string &address : addresses) {
        const Poco::JSON::Object::Ptr status = fetchStatus(address);
        if (status.isNull()) {
            code = ExitCode::Unreachable;
            continue;
        }
        all.add(status);
    }
    if (FLAGS_json) {
        all.stringify(std::cout, 2);
        std::cout << std::endl;
        return code;
    }
    printHeader();
    for (std::size_t i = 0; i < all.size(); ++i) {
        printRow(*all.getObject(static_cast<unsigned>(i)));
    }
    return code;
}

const VerbRegistration registration({"status",
                                     "[--json] OPERATOR_ADDRESS...",
                                     "Shows the state and the resource usage of nodes.",
                                     {"json", "timeout_ms"},
                                     run});

} // namespace

} // namespace fescuepond
