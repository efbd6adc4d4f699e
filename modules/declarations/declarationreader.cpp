// Parses and checks the operators' declarations of services and kinds of work, which are written in YAML.

#include "modules/declarations/declarationreader.h"

#include "core/settings/settingformat.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <set>
#include <span>
#include <variant>

namespace fescuepond
{

namespace
{

constexpr std::string_view DeclarationFileName = "fescuepond.yaml";
constexpr std::string_view DeclarationFileSuffix = ".fescuepond.yaml";
constexpr std::array<std::string_view, 8> Methods = {"GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "*"};
constexpr int MaxRetries = 10;
constexpr int MaxDeadlineMs = 600'000;

/// The function of KindDeclaration that stores a key's value.
using KindSetter = std::variant<KindDeclaration (KindDeclaration::*)(std::string) const,
                                KindDeclaration (KindDeclaration::*)(int) const,
                                KindDeclaration (KindDeclaration::*)(bool) const,
                                KindDeclaration (KindDeclaration::*)(std::chrono::milliseconds) const,
                                KindDeclaration (KindDeclaration::*)(double) const>;

/// One YAML key in the declaration of a kind. `minimum` and `maximum` are inclusive and apply to numbers only.
struct KindField {
    std::string_view key;
    KindSetter setter;
    bool isRequired;
    double minimum = 0;
    double maximum = 0;
};

std::span<const KindField> kindFields()
{
    static const auto fields = std::to_array<KindField>({
        {"name", &KindDeclaration::withName, true},
        {"method", &KindDeclaration::withMethod, true},
        {"path", &KindDeclaration::withPath, true},
        {"rank", &KindDeclaration::withRank, true, MostUrgentRank, LeastUrgentRank},
        {"idempotent", &KindDeclaration::withIdempotent, true},
        {"deadline_ms", &KindDeclaration::withDeadline, true, 1, MaxDeadlineMs},
        {"retries", &KindDeclaration::withRetryAllowance, false, 0, MaxRetries},
        {"kept_share", &KindDeclaration::withKeptShare, false, 0, 1},
    });
    return fields;
}

/// Visitor of a KindSetter: returns a copy of a kind in which the value of one YAML node is stored. Throws
/// YAML::Exception if the value has the wrong type or is out of range.
class KindVisitor
{
public:
    KindVisitor(const KindDeclaration &kind, const YAML::Node &node, const KindField &field)
        : m_kind(kind)
        , m_node(node)
        , m_field(field)
    {
    }
    KindDeclaration operator()(KindDeclaration (KindDeclaration::*setter)(std::string) const) const
    {
        return (m_kind.*setter)(m_node.as<std::string>());
    }
    KindDeclaration operator()(KindDeclaration (KindDeclaration::*setter)(int) const) const
    {
        return (m_kind.*setter)(number<int>());
    }
    KindDeclaration operator()(KindDeclaration (KindDeclaration::*setter)(bool) const) const
    {
        return (m_kind.*setter)(m_node.as<bool>());
    }
    KindDeclaration operator()(KindDeclaration (KindDeclaration::*setter)(std::chrono::milliseconds) const) const
    {
        return (m_kind.*setter)(std::chrono::milliseconds(number<int>()));
    }
    KindDeclaration operator()(KindDeclaration (KindDeclaration::*setter)(double) const) const
    {
        return (m_kind.*setter)(number<double>());
    }

private:
    template<typename Number>
    Number number() const
    {
        const auto value = m_node.as<Number>();
        if (!(value >= m_field.minimum && value <= m_field.maximum)) {
            throw YAML::Exception(m_node.Mark(),
                                  fmt::format("must lie between {} and {}", m_field.minimum, m_field.maximum));
        }
        return value;
    }

    const KindDeclaration &m_kind;
    const YAML::Node &m_node;
    const KindField &m_field;
};

/// Whether a Host header can name the service. An IP address and "localhost" are reserved: a node takes them for its
/// own service.
bool isServiceName(const std::string &name)
{
    return isName(name) && name != "localhost" && !parseEndpoint(name + ":0");
}

/// Whether `earlier` matches every request that `later` matches, so that `later` is never reached.
bool shadows(const KindDeclaration &earlier, const KindDeclaration &later)
{
    const bool matchesMethod = earlier.method() == "*" || earlier.method() == later.method();
    if (!matchesMethod || earlier.path().empty() || later.path().empty()) {
        return false;
    }
    if (earlier.path().back() != '*') {
        return earlier.path() == later.path();
    }
    const std::string prefix = earlier.path().substr(0, earlier.path().size() - 1);
    return later.path().starts_with(prefix);
}

/// Parses the declaration of one service and collects findings.
class ServiceReader
{
public:
    explicit ServiceReader(std::string file)
        : m_file(std::move(file))
    {
    }

    ServiceDeclaration read(const YAML::Node &root)
    {
        if (!root.IsMap()) {
            addFinding(root, "a declaration must be a map of keys and values");
            return {};
        }
        checkKeys(root, {"service", "kinds"});
        ServiceDeclaration service;
        const YAML::Node name = root["service"];
        if (!name.IsDefined() || !name.IsScalar() || name.Scalar().empty()) {
            addFinding(root, "'service' must name the service");
        } else if (!isServiceName(name.Scalar())) {
            addFinding(name, fmt::format("service '{}' can't be named by a Host header", name.Scalar()));
        } else {
            service = service.withName(name.Scalar());
        }
        return service.withKinds(readKinds(root));
    }

    const Findings &findings() const
    {
        return m_findings;
    }

private:
    void addFinding(const YAML::Node &node, std::string message)
    {
        m_findings.push_back(findingAt(m_file, node, std::move(message)));
    }

    void checkKeys(const YAML::Node &map, const std::set<std::string_view> &known)
    {
        std::set<std::string> seen;
        for (const auto &entry : map) {
            if (!entry.first.IsScalar()) {
                addFinding(entry.first, "a key must be a string");
                continue;
            }
            const std::string &key = entry.first.Scalar();
            if (!known.contains(key)) {
                addFinding(entry.first, fmt::format("unknown key '{}'", key));
            }
            if (!seen.insert(key).second) {
                addFinding(entry.first, fmt::format("duplicate key '{}'", key));
            }
        }
    }

    KindDeclarations readKinds(const YAML::Node &root)
    {
        const YAML::Node list = root["kinds"];
        if (!list.IsDefined() || !list.IsSequence() || list.size() == 0) {
            addFinding(root, "'kinds' must list at least one kind");
            return {};
        }
        KindDeclarations kinds;
        std::set<std::string> names;
        double shares = 0;
        for (const YAML::Node &node : list) {
            const KindDeclaration kind = readKind(node);
            if (!kind.name().empty() && !names.insert(kind.name()).second) {
                addFinding(node, fmt::format("kind '{}' is declared twice", kind.name()));
            }
            checkReachable(node, kind, kinds);
            shares += kind.keptShare();
            kinds.push_back(kind);
        }
        if (shares > 1) {
            addFinding(list, fmt::format("the kept shares add up to {}, which is more than 1", shares));
        }
        return kinds;
    }

    KindDeclaration readKind(const YAML::Node &node)
    {
        if (!node.IsMap()) {
            addFinding(node, "a kind must be a map of keys and values");
            return {};
        }
        std::set<std::string_view> known;
        KindDeclaration kind;
        for (const KindField &field : kindFields()) {
            known.insert(field.key);
            kind = readField(node, field, kind);
        }
        checkKeys(node, known);
        checkStrings(node, kind);
        return kind;
    }

    /// Checks the strings of a kind. Missing ones are skipped: readField() has reported them.
    void checkStrings(const YAML::Node &node, const KindDeclaration &kind)
    {
        const bool isNameEmpty = node["name"].IsDefined() && kind.name().empty();
        if (isNameEmpty) {
            addFinding(node["name"], "'name' must not be empty");
        }
        const bool isMethodKnown =
            kind.method().empty() || std::ranges::count(Methods, std::string_view(kind.method())) > 0;
        if (!isMethodKnown) {
            addFinding(node["method"],
                       fmt::format("method '{}' is none of {}", kind.method(), fmt::join(Methods, ", ")));
        }
        if (!kind.path().empty()) {
            checkPath(node["path"], kind.path());
        }
    }

    void checkPath(const YAML::Node &node, const std::string &path)
    {
        if (path.front() != '/') {
            addFinding(node, fmt::format("path '{}' must begin with '/'", path));
        }
        if (path.find('*') < path.size() - 1) {
            addFinding(node, fmt::format("path '{}': '*' may stand only at the end", path));
        }
        if (path.find_first_of("?# \t") != std::string::npos) {
            addFinding(node, fmt::format("path '{}' must not hold '?', '#' or blanks", path));
        }
    }

    void checkReachable(const YAML::Node &node, const KindDeclaration &kind, const KindDeclarations &earlier)
    {
        const auto shadowing = std::ranges::find_if(earlier, [&](const KindDeclaration &other) {
            return other.name() != kind.name() && shadows(other, kind);
        });
        if (shadowing != earlier.end()) {
            addFinding(node["path"],
                       fmt::format("kind '{}' is never reached: '{}' matches all its requests",
                                   kind.name(),
                                   shadowing->name()));
        }
    }

    KindDeclaration readField(const YAML::Node &node, const KindField &field, const KindDeclaration &kind)
    {
        const YAML::Node value = node[std::string(field.key)];
        if (!value.IsDefined()) {
            if (field.isRequired) {
                addFinding(node, fmt::format("key '{}' is missing", field.key));
            }
            return kind;
        }
        try {
            return std::visit(KindVisitor(kind, value, field), field.setter);
        } catch (const YAML::BadConversion &) {
            addFinding(value, fmt::format("'{}' has a value of the wrong type", field.key));
        } catch (const YAML::Exception &error) {
            addFinding(value, fmt::format("'{}' {}", field.key, error.msg));
        }
        return kind;
    }

    const std::string m_file;
    Findings m_findings;
};

bool isDeclarationFile(const std::filesystem::directory_entry &entry)
{
    const std::string name = entry.path().filename().string();
    return entry.is_regular_file() && (name == DeclarationFileName || name.ends_with(DeclarationFileSuffix));
}

std::vector<std::string> findFiles(const std::vector<std::string> &folders, Findings &findings)
{
    std::set<std::string> files;
    for (const std::string &folder : folders) {
        std::error_code error;
        std::filesystem::recursive_directory_iterator entries(folder, error);
        if (error) {
            findings.emplace_back(folder, 0, 0, "cannot be read: " + error.message());
            continue;
        }
        for (const auto &entry : entries) {
            if (isDeclarationFile(entry)) {
                files.insert(entry.path().string());
            }
        }
    }
    return {files.begin(), files.end()};
}

Result<ServiceDeclaration> readFile(const std::string &path)
{
    BOOST_LEAF_AUTO(text, readTextFile(path));
    return readDeclaration(path, text);
}

} // namespace

Result<ServiceDeclaration> readDeclaration(const std::string &file, const std::string &text)
{
    BOOST_LEAF_AUTO(root, loadYaml(file, text));
    Findings findings;
    ServiceDeclaration service = readService(file, root, findings);
    if (!findings.empty()) {
        return failure(std::move(findings));
    }
    return service;
}

ServiceDeclaration readService(const std::string &file, const YAML::Node &node, Findings &findings)
{
    ServiceReader reader(file);
    ServiceDeclaration service = reader.read(node);
    findings.insert(findings.end(), reader.findings().begin(), reader.findings().end());
    return service;
}

Result<ServiceMap> collectDeclarations(const std::vector<std::string> &folders)
{
    Findings findings;
    ServiceMap services;
    std::map<std::string, std::string> fileOf;
    for (const std::string &path : findFiles(folders, findings)) {
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(service, readFile(path));
                const auto [entry, isNew] = fileOf.emplace(service.name(), path);
                if (!isNew) {
                    findings.emplace_back(
                        path, 0, 0, fmt::format("service '{}' is declared in {} too", service.name(), entry->second));
                }
                services.insert_or_assign(service.name(), service);
                return {};
            },
            [&](const Findings &found) {
                findings.insert(findings.end(), found.begin(), found.end());
            },
            [&] {
                findings.emplace_back(path, 0, 0, "cannot be read");
            });
    }
    if (services.empty() && findings.empty()) {
        findings.emplace_back(
            folders.empty() ? "" : folders.front(),
            0,
            0,
            fmt::format("contains no file named {} or *{}", DeclarationFileName, DeclarationFileSuffix));
    }
    if (!findings.empty()) {
        return failure(std::move(findings));
    }
    return services;
}

} // namespace fescuepond
