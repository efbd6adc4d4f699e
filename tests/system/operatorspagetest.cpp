// Checks that docs/OPERATORS.md lists every setting with its default and unit, and every metric and event of the code.
// Guards against a setting, metric or event that is added or changed in the code alone.

#include "core/settings/nodesettings.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace fescuepond
{

namespace
{

constexpr const char *SourceFolder = FESCUEPOND_SOURCE_DIR;

std::filesystem::path source(const char *path)
{
    return std::filesystem::path(SourceFolder) / path;
}

std::string readFile(const std::filesystem::path &path)
{
    const std::ifstream stream(path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

/// Collects what the first group of `pattern` matches in the sources of the program.
std::set<std::string> namesInSources(const std::regex &pattern)
{
    std::set<std::string> names;
    for (const char *folder : {"core", "servers", "modules", "main"}) {
        for (const auto &entry : std::filesystem::recursive_directory_iterator(source(folder))) {
            if (entry.path().extension() != ".cpp") {
                continue;
            }
            const std::string text = readFile(entry.path());
            for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match) {
                names.insert((*match)[1]);
            }
        }
    }
    return names;
}

void expectNamed(const std::set<std::string> &names, const std::string &page)
{
    EXPECT_GT(names.size(), 5);
    for (const std::string &name : names) {
        EXPECT_NE(page.find("| `" + name + "` |"), std::string::npos) << name << " is missing in docs/OPERATORS.md";
    }
}

} // namespace

TEST(OperatorsPage, HasEverySettingWithDefaultAndUnit)
{
    const std::string page = readFile(source("docs/OPERATORS.md"));
    for (const SettingRow &row : settingRows()) {
        const std::string value = row.isRequired() ? "required" : fmt::format("`{}`", row.defaultValue);
        const std::string line = fmt::format("| `{}` | {} | {} |", row.key, value, row.unit);
        EXPECT_NE(page.find(line), std::string::npos) << line << " is missing in docs/OPERATORS.md";
    }
}

TEST(OperatorsPage, NamesEveryMetricAndEvent)
{
    const std::string page = readFile(source("docs/OPERATORS.md"));
    expectNamed(namesInSources(std::regex("\"(fescuepond_[a-z_]+)\"")), page);
    expectNamed(namesInSources(std::regex("Event\\(\"([a-z_]+)\"")), page);
}

} // namespace fescuepond
