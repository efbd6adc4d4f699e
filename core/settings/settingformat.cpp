// Validates the text of one setting: the format of names and addresses, and the range of numbers.

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

constexpr int MaxPort = 65535;

constexpr std::array Rules = {
    SettingRule{"name", SettingFormat::Name},
    SettingRule{"service", SettingFormat::Name},
    SettingRule{"zone", SettingFormat::Name},
    SettingRule{"region", SettingFormat::Name},
    SettingRule{"front_address", SettingFormat::ListenAddress},
    SettingRule{"environment", SettingFormat::Name},
    SettingRule{"entry_address", SettingFormat::ListenAddress},
    SettingRule{"readiness_address", SettingFormat::ListenAddress},
    SettingRule{"registration_address", SettingFormat::ListenAddress},
    SettingRule{"local_address", SettingFormat::LoopbackAddress},
    SettingRule{"peer_address", SettingFormat::ListenAddress},
    SettingRule{"peer_advertised_address", SettingFormat::RemoteAddress},
    SettingRule{"operator_address", SettingFormat::ListenAddress},
    SettingRule{"backend_address", SettingFormat::RemoteAddress},
    SettingRule{"platform_address", SettingFormat::RemoteAddress},
    SettingRule{"seed_peers", SettingFormat::RemoteAddress},
    SettingRule{"backend_slots", SettingFormat::Number, 1, 100'000},
    SettingRule{"retry_ratio", SettingFormat::Fraction, 0, 1},
    SettingRule{"retry_slack", SettingFormat::Fraction, 0, 1'000'000},
    SettingRule{"retry_window_s", SettingFormat::Fraction, 1, 3600},
    SettingRule{"backend_drain_s", SettingFormat::Fraction, 0, 3600},
    SettingRule{"backend_report_interval_s", SettingFormat::Fraction, 0, 3600},
    SettingRule{"stop_limit_s", SettingFormat::Fraction, 0, 3600},
    SettingRule{"change_bound_s", SettingFormat::Fraction, 0, 3600},
    SettingRule{"recovery_time_s", SettingFormat::Fraction, 0, 3600},
    SettingRule{"log_lines_per_second", SettingFormat::Number, 0, 1'000'000},
    SettingRule{"http_threads", SettingFormat::Number, 2, 10'000},
    SettingRule{"backend_threads", SettingFormat::Number, 1, 100'000},
    SettingRule{"max_body_bytes", SettingFormat::Number, 0, 100'000'000},
    SettingRule{"max_header_bytes", SettingFormat::Number, 256, 1'000'000},
    SettingRule{"max_connections", SettingFormat::Number, 16, 1'000'000},
    SettingRule{"memory_limit_mb", SettingFormat::Number, 0, 1'000'000},
    SettingRule{"request_read_timeout_ms", SettingFormat::Number, 10, 600'000},
    SettingRule{"drain_timeout_ms", SettingFormat::Number, 0, 3'600'000},
    SettingRule{"leave_grace_ms", SettingFormat::Number, 0, 600'000},
    SettingRule{"platform_timeout_ms", SettingFormat::Number, 10, 60'000},
};

std::optional<int> parsePort(const std::string &text)
{
    int port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    const bool isFullyParsed = error == std::errc() && end == text.data() + text.size();
    if (!isFullyParsed || text.empty() || port < 0 || port > MaxPort) {
        return std::nullopt;
    }
    return port;
}

bool isIp(const std::string &text, int family)
{
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    return inet_pton(family, text.c_str(), binary.data()) == 1;
}

std::string endpointError(const SettingRule &rule, const std::string &text)
{
    const auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        return fmt::format("must be IP:port, not '{}'", text);
    }
    if (rule.format == SettingFormat::LoopbackAddress && !endpoint->isLoopback) {
        return fmt::format("must be a loopback address, not '{}'", text);
    }
    const bool isRemote = rule.format == SettingFormat::RemoteAddress;
    if (isRemote && endpoint->port == 0) {
        return "must name a port other than 0";
    }
    return {};
}

std::string nameError(const std::string &text)
{
    if (text.empty()) {
        return "must not be empty";
    }
    return isName(text) ? "" : "may hold only letters, digits, '.', '_' and '-'";
}

std::string numberError(const SettingRule &rule, const std::string &text)
{
    std::size_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isInRange = error == std::errc() && value >= rule.min && value <= rule.max;
    return isInRange ? "" : fmt::format("must lie between {} and {}", rule.min, rule.max);
}

std::string fractionError(const SettingRule &rule, const std::string &text)
{
    double value = -1;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool isFullyParsed = error == std::errc() && end == text.data() + text.size();
    const bool isInRange =
        isFullyParsed && value >= static_cast<double>(rule.min) && value <= static_cast<double>(rule.max);
    return isInRange ? "" : fmt::format("must lie between {} and {}", rule.min, rule.max);
}

} // namespace

SettingRule settingRule(std::string_view key)
{
    const auto *const found = std::find_if(Rules.begin(), Rules.end(), [&](const SettingRule &rule) {
        return rule.key == key;
    });
    return found == Rules.end() ? SettingRule{key} : *found;
}

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

std::string formatError(const SettingRule &rule, const std::string &text)
{
    switch (rule.format) {
    case SettingFormat::Name:
        return nameError(text);
    case SettingFormat::ListenAddress:
    case SettingFormat::LoopbackAddress:
    case SettingFormat::RemoteAddress:
        return endpointError(rule, text);
    case SettingFormat::Number:
        return numberError(rule, text);
    case SettingFormat::Fraction:
        return fractionError(rule, text);
    case SettingFormat::Plain:
        return {};
    }
    return {};
}

} // namespace fescuepond
