// Checks the text of one setting against what its row of the table asks for.

#include "core/settings/settingformat.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace fescuepond
{

namespace
{

constexpr int GreatestPort = 65535;

std::optional<int> parsePort(const std::string &text)
{
    int port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    if (!isWhole || text.empty() || port < 0 || port > GreatestPort) {
        return std::nullopt;
    }
    return port;
}

bool isIp(const std::string &text, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return inet_pton(family, text.c_str(), binary.data()) == 1;
}

std::string endpointFault(const SettingRow &row, const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        return fmt::format("must be IP:port, not '{}'", text);
    }
    if (row.format == SettingFormat::LoopbackAddress && !endpoint->isLoopback) {
        return fmt::format("must be a loopback address, not '{}'", text);
    }
    const bool isRemote = row.format == SettingFormat::RemoteAddress || row.format == SettingFormat::RemoteAddresses;
    if (isRemote && endpoint->port == 0) {
        return "must name a port other than 0";
    }
    return {};
}

std::string nameFault(const std::string &text)
{
    if (text.empty()) {
        return "must not be empty";
    }
    return isName(text) ? "" : "may hold only letters, digits, '.', '_' and '-'";
}

std::string numberFault(const SettingRow &row, const std::string &text)
{
    std::size_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isInRange = error == std::errc() && value >= row.least && value <= row.most;
    return isInRange ? "" : fmt::format("must lie between {} and {}", row.least, row.most);
}

} // namespace

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto port = parsePort(text.substr(colon + 1));
    std::string ip = text.substr(0, colon);
    const bool isBracketed = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
    if (isBracketed) {
        ip = ip.substr(1, ip.size() - 2);
    }
    if (!port || !isIp(ip, isBracketed ? AF_INET6 : AF_INET)) {
        return std::nullopt;
    }
    const bool isLoopback = isBracketed ? ip == "::1" : ip.starts_with("127.");
    return Endpoint{std::move(ip), *port, isLoopback};
}

bool isName(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    });
}

std::string formatFault(const SettingRow &row, const std::string &text)
{
    switch (row.format) {
    case SettingFormat::Name:
        return nameFault(text);
    case SettingFormat::ListenAddress:
    case SettingFormat::LoopbackAddress:
    case SettingFormat::RemoteAddress:
    case SettingFormat::RemoteAddresses:
        return endpointFault(row, text);
    case SettingFormat::Number:
        return numberFault(row, text);
    }
    return {};
}

} // namespace fescuepond
