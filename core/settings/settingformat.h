// Checks the text of one setting against what its row of the table asks for.

#pragma once

#include "core/settings/nodesettings.h"

#include <optional>
#include <string>

namespace fescuepond
{

/// An IP and a port.
struct Endpoint {
    std::string ip;
    int port = 0;
    bool isLoopback = false;
};

/// Parses "10.0.0.1:80" or "[::1]:80"; names are not resolved.
std::optional<Endpoint> parseEndpoint(const std::string &text);

/// Whether `text` may name a node, service or zone.
bool isName(const std::string &text);

/// What is wrong with `text` as a value of `row`; empty when nothing is.
std::string formatFault(const SettingRow &row, const std::string &text);

} // namespace fescuepond
