// Compares two texts of a settings file.

#include "core/settings/settingsdifference.h"

#include "core/kernel/yaml.h"

namespace fescuepond
{

Result<StringList> changedSettings(const std::string &file, const std::string &before, const std::string &after)
{
    BOOST_LEAF_AUTO(old, loadYaml(file, before));
    BOOST_LEAF_AUTO(next, loadYaml(file, after));
    if (!old.IsMap() || !next.IsMap()) {
        return failure(Findings{findingAt(file, next, "settings must be a map of keys and values")});
    }
    const auto textOf = [](const YAML::Node &root, const SettingRow &row) {
        const YAML::Node value = root[std::string(row.key)];
        return value.IsDefined() ? YAML::Dump(value) : std::string(row.defaultValue);
    };
    StringList changed;
    for (const SettingRow &row : settingRows()) {
        if (textOf(old, row) != textOf(next, row)) {
            changed.emplace_back(row.key);
        }
    }
    return changed;
}

} // namespace fescuepond
