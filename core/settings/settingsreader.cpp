// Reads node settings from YAML according to the table of settings.

#include "core/settings/settingsreader.h"

#include "core/kernel/yaml.h"
#include "core/settings/settingformat.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace fescuepond
{

namespace
{

/// Calls a setter with the value of a YAML node, converted to the setter's type.
class SettingVisitor
{
public:
    SettingVisitor(const NodeSettings &settings, const YAML::Node &node)
        : m_settings(settings)
        , m_node(node)
    {
    }

    NodeSettings operator()(NodeSettings (NodeSettings::*setter)(std::string) const) const
    {
        return (m_settings.*setter)(m_node.as<std::string>());
    }
    NodeSettings operator()(NodeSettings (NodeSettings::*setter)(StringList) const) const
    {
        return (m_settings.*setter)(m_node.as<StringList>());
    }
    NodeSettings operator()(NodeSettings (NodeSettings::*setter)(std::size_t) const) const
    {
        return (m_settings.*setter)(m_node.as<std::size_t>());
    }
    NodeSettings operator()(NodeSettings (NodeSettings::*setter)(double) const) const
    {
        return (m_settings.*setter)(m_node.as<double>());
    }
    NodeSettings operator()(NodeSettings (NodeSettings::*setter)(bool) const) const
    {
        return (m_settings.*setter)(m_node.as<bool>());
    }
    NodeSettings operator()(NodeSettings (NodeSettings::*setter)(Milliseconds) const) const
    {
        return (m_settings.*setter)(Milliseconds(m_node.as<std::uint32_t>()));
    }
    NodeSettings operator()(NodeSettings (NodeSettings::*setter)(Seconds) const) const
    {
        return (m_settings.*setter)(Seconds(m_node.as<double>()));
    }

private:
    const NodeSettings &m_settings;
    const YAML::Node &m_node;
};

void checkKeys(const std::string &file, const YAML::Node &root, Findings &findings)
{
    const auto rows = settingRows();
    std::set<std::string> seen;
    for (const auto &entry : root) {
        if (!entry.first.IsScalar()) {
            findings.push_back(findingAt(file, entry.first, "the key of a setting must be a string"));
            continue;
        }
        const std::string &key = entry.first.Scalar();
        const bool isKnown = std::any_of(rows.begin(), rows.end(), [&](const SettingRow &row) {
            return row.key == key;
        });
        if (!isKnown) {
            findings.push_back(findingAt(file, entry.first, fmt::format("unknown setting '{}'", key)));
        }
        if (!seen.insert(key).second) {
            findings.push_back(findingAt(file, entry.first, fmt::format("duplicate setting '{}'", key)));
        }
    }
}

/// Adds a finding for each text in `node` that violates the format of the setting.
void checkFormat(const std::string &file, const YAML::Node &node, const SettingRow &row, Findings &findings)
{
    if (node.IsSequence()) {
        for (const YAML::Node &item : node) {
            checkFormat(file, item, row, findings);
        }
        return;
    }
    const bool isUnset = node.Scalar().empty() && row.defaultValue == "''";
    if (isUnset) {
        return;
    }
    const std::string error = formatError(settingRule(row.key), node.Scalar());
    if (!error.empty()) {
        findings.push_back(findingAt(file, node, fmt::format("setting '{}' {}", row.key, error)));
    }
}

void applyRow(const std::string &file,
              const YAML::Node &root,
              const SettingRow &row,
              NodeSettings &settings,
              Findings &findings)
{
    const bool isGiven = root[std::string(row.key)].IsDefined();
    if (!isGiven && row.isRequired()) {
        findings.push_back(findingAt(file, root, fmt::format("setting '{}' is missing", row.key)));
        return;
    }
    const YAML::Node node = isGiven ? root[std::string(row.key)] : YAML::Load(std::string(row.defaultValue));
    try {
        settings = std::visit(SettingVisitor(settings, node), row.setter);
    } catch (const YAML::Exception &) {
        findings.push_back(findingAt(file, node, fmt::format("setting '{}' has a value of the wrong type", row.key)));
        return;
    }
    if (isGiven) {
        checkFormat(file, node, row, findings);
    }
}

} // namespace

Result<NodeSettings> readSettings(const std::string &file, const std::string &text)
{
    BOOST_LEAF_AUTO(root, loadYaml(file, text));
    if (!root.IsMap()) {
        return failure(Findings{findingAt(file, root, "settings must be a map of keys and values")});
    }
    Findings findings;
    checkKeys(file, root, findings);
    NodeSettings settings;
    for (const SettingRow &row : settingRows()) {
        applyRow(file, root, row, settings, findings);
    }
    if (!findings.empty()) {
        return failure(std::move(findings));
    }
    return settings;
}

Result<NodeSettings> readSettingsFile(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readTextFile(path));
    return readSettings(path, text);
}

} // namespace fescuepond
