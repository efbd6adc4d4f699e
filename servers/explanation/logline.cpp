// Parses lines of key=value pairs.

#include "servers/explanation/logline.h"

#include <charconv>

namespace fescuepond
{

namespace
{

constexpr std::string_view TimeKey = "time_ms=";

/// Reads a quoted value from `text`, which starts after the opening quote, and removes it from `text`.
std::string readQuotedValue(std::string_view &text)
{
    std::string value;
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1) {
            text.remove_prefix(1);
            value += text.front() == 'n' ? '\n' : text.front();
        } else {
            value += text.front();
        }
        text.remove_prefix(1);
    }
    text.remove_prefix(text.empty() ? 0 : 1);
    return value;
}

std::string readPlainValue(std::string_view &text)
{
    const std::size_t end = std::min(text.find(' '), text.size());
    std::string value(text.substr(0, end));
    text.remove_prefix(end);
    return value;
}

} // namespace

std::string LogLine::field(const std::string &key) const
{
    const auto found = fields().find(key);
    return found == fields().end() ? std::string() : found->second;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    const std::size_t begin = text.find(TimeKey);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view rest = text.substr(begin);
    std::map<std::string, std::string> fields;
    while (!rest.empty()) {
        const std::size_t equals = rest.find('=');
        const std::size_t space = rest.find(' ');
        if (equals == std::string_view::npos) {
            break;
        }
        if (space < equals) {
            rest.remove_prefix(space + 1); // A word without a value, or the space between two pairs.
            continue;
        }
        const std::string key(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        const bool isQuoted = !rest.empty() && rest.front() == '"';
        rest.remove_prefix(isQuoted ? 1 : 0);
        fields.insert_or_assign(key, isQuoted ? readQuotedValue(rest) : readPlainValue(rest));
    }
    std::int64_t timeMs = 0;
    const std::string time = fields["time_ms"];
    const auto [end, error] = std::from_chars(time.data(), time.data() + time.size(), timeMs);
    if (error != std::errc() || end != time.data() + time.size() || !fields.contains("event")) {
        return std::nullopt;
    }
    return LogLine().withTimeMs(timeMs).withText(std::string(text)).withFields(std::move(fields));
}

} // namespace fescuepond
