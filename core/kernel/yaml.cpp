// Reads YAML and reports errors as findings with line and column.

#include "core/kernel/yaml.h"

#include <fstream>
#include <sstream>

namespace fescuepond
{

Finding findingAt(const std::string &file, const YAML::Node &node, std::string message)
{
    const YAML::Mark mark = node.Mark();
    return Finding(file, mark.line + 1, mark.column + 1, std::move(message));
}

Result<YAML::Node> loadYaml(const std::string &file, const std::string &text)
{
    try {
        return YAML::Load(text);
    } catch (const YAML::Exception &error) {
        return failure(Findings{Finding(file, error.mark.line + 1, error.mark.column + 1, error.msg)});
    }
}

Result<std::string> readTextFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream) {
        return failure(Findings{Finding(path, 0, 0, "cannot be read")});
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

} // namespace fescuepond
