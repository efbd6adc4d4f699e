// Validates the text of one setting: the format of names and addresses, and the range of numbers.

#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fescuepond
{

/// The required format of a setting's text.
enum class SettingFormat {
    Name, ///< Letters, digits, '.', '_' and '-'.
    ListenAddress, ///< IP:port; port 0 lets the system choose.
    LoopbackAddress, ///< A listen address that is reachable only from this VM.
    RemoteAddress, ///< IP:port, or a list of these; port 0 is rejected.
    Number,
    Fraction, ///< A decimal number.
    Plain, ///< Any text.
};

/// Upper bound of all numeric settings.
constexpr std::size_t MaxSettingValue = 1'000'000'000;

/// Requirements on one setting beyond its type.
struct SettingRule {
    std::string_view key;
    SettingFormat format = SettingFormat::Plain;
    std::size_t min = 0; ///< Lower bound of a number.
    std::size_t max = MaxSettingValue; ///< Upper bound of a number.
};

/// The rule for a key; any text is valid if the key has none.
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

/// Why `text` violates `rule`; empty if it is valid.
std::string formatError(const SettingRule &rule, const std::string &text);

} // namespace fescuepond
