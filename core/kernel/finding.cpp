// Findings: text form.

#include "core/kernel/finding.h"

#include <fmt/format.h>

namespace fescuepond
{

Finding::Finding(std::string file, int line, int column, std::string message)
    : m_file(std::move(file))
    , m_line(line)
    , m_column(column)
    , m_message(std::move(message))
{
}

std::string Finding::toString() const
{
    if (m_file.empty()) {
        return m_message;
    }
    if (m_line == 0) {
        return fmt::format("{}: {}", m_file, m_message);
    }
    return fmt::format("{}:{}:{}: {}", m_file, m_line, m_column, m_message);
}

std::string toString(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += finding.toString();
        text += '\n';
    }
    return text;
}

} // namespace fescuepond
