// Checks the text of one setting: the form of names and addresses, and the range of numbers.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fescuepond
{

/// What the text of a setting must be.
enum class SettingFormat {
    Name, ///< Letters, digits, '.', '_' and '-'.
    ListenAddress, ///< IP:port; port 0 lets the system choose.
    LoopbackAddress, ///< A listen address that only this VM reaches.
    RemoteAddress, ///< IP:port, also each of a list.
    Number,
    Fraction, ///< A number with fractions.
    Plain, ///< Anything.
};

/// No number of a setting is greater.
constexpr std::size_t MaxSettingValue = 1'000'000'000;

/// What is asked of one setting beyond its type.
struct SettingRule {
    std::string_view key;
    SettingFormat format = SettingFormat::Plain;
    std::size_t min = 0; ///< Of a number.
    std::size_t max = MaxSettingValue; ///< Of a number.
};

/// The rule for a key.
SettingRule settingRule(std::string_view key);

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

/// What is wrong with `text` as the value of a setting with `rule`; empty when nothing is.
std::string formatError(const SettingRule &rule, const std::string &text);

} // namespace fescuepond
