// Encodes and decodes the YAML text of a published configuration.

#include "modules/declarations/configurationencoding.h"

#include "core/kernel/yaml.h"
#include "modules/declarations/declarationreader.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace fescuepond
{

namespace
{

void emitKind(YAML::Emitter &out, const KindDeclaration &kind)
{
    out << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << kind.name();
    out << YAML::Key << "method" << YAML::Value << kind.method();
    out << YAML::Key << "path" << YAML::Value << kind.path();
    out << YAML::Key << "rank" << YAML::Value << kind.rank();
    out << YAML::Key << "idempotent" << YAML::Value << kind.idempotent();
    out << YAML::Key << "deadline_ms" << YAML::Value << kind.deadline().count();
    out << YAML::Key << "retries" << YAML::Value << kind.retryAllowance();
    out << YAML::Key << "kept_share" << YAML::Value << kind.keptShare();
    out << YAML::EndMap;
}

std::string writeServices(const ServiceMap &services)
{
    YAML::Emitter out;
    out << YAML::BeginSeq;
    for (const auto &[name, service] : services) {
        out << YAML::BeginMap << YAML::Key << "service" << YAML::Value << name;
        out << YAML::Key << "kinds" << YAML::Value << YAML::BeginSeq;
        for (const KindDeclaration &kind : service.kinds()) {
            emitKind(out, kind);
        }
        out << YAML::EndSeq << YAML::EndMap;
    }
    out << YAML::EndSeq;
    return out.c_str();
}

/// Digest of the services. Computed over their YAML text, so that it covers every field.
std::string digestOf(const ServiceMap &services)
{
    const std::string text = writeServices(services);
    return fmt::format("{:016x}", XXH3_64bits(text.data(), text.size()));
}

std::string writePublication(const Publication &publication, ConfigurationVersion version, const std::string &digest)
{
    YAML::Emitter out;
    out << YAML::BeginMap << YAML::Key << "version" << YAML::Value << version;
    out << YAML::Key << "digest" << YAML::Value << YAML::DoubleQuoted << digest;
    out << YAML::Key << "history" << YAML::Value << YAML::BeginSeq;
    for (const PublicationEntry &entry : publication.history()) {
        out << YAML::Flow << YAML::BeginMap;
        out << YAML::Key << "nonce" << YAML::Value << YAML::DoubleQuoted << entry.nonce().toString();
        out << YAML::Key << "operator" << YAML::Value << YAML::DoubleQuoted << entry.operatorName();
        out << YAML::Key << "time" << YAML::Value << YAML::DoubleQuoted << entry.time();
        out << YAML::Key << "base_version" << YAML::Value << entry.baseVersion() << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::Key << "changes" << YAML::Value << YAML::BeginSeq;
    for (const ServiceChange &change : publication.changes()) {
        out << YAML::Flow << YAML::BeginMap;
        out << YAML::Key << "service" << YAML::Value << YAML::DoubleQuoted << change.service();
        out << YAML::Key << "operator" << YAML::Value << YAML::DoubleQuoted << change.operatorName();
        out << YAML::Key << "time" << YAML::Value << YAML::DoubleQuoted << change.time() << YAML::EndMap;
    }
    out << YAML::EndSeq << YAML::EndMap;
    return out.c_str();
}

/// Throws YAML::Exception if a field is missing or of the wrong type.
Publication readPublication(const YAML::Node &node)
{
    PublicationHistory history;
    for (const YAML::Node &entry : node["history"]) {
        const auto nonce = PublicationNonce::parse(entry["nonce"].as<std::string>());
        history.push_back(PublicationEntry()
                              .withNonce(nonce.value_or(PublicationNonce()))
                              .withOperatorName(entry["operator"].as<std::string>())
                              .withTime(entry["time"].as<std::string>())
                              .withBaseVersion(entry["base_version"].as<ConfigurationVersion>()));
    }
    ServiceChanges changes;
    for (const YAML::Node &entry : node["changes"]) {
        changes.push_back(ServiceChange()
                              .withService(entry["service"].as<std::string>())
                              .withOperatorName(entry["operator"].as<std::string>())
                              .withTime(entry["time"].as<std::string>()));
    }
    return Publication().withHistory(std::move(history)).withChanges(std::move(changes));
}

/// Indents every line, so that the block can be the value of a key.
std::string indented(const std::string &block)
{
    std::string text = "  ";
    for (const char c : block) {
        text += c;
        if (c == '\n') {
            text += "  ";
        }
    }
    return text;
}

} // namespace

std::string writeConfiguration(const Configuration &configuration, const Publication &publication)
{
    const ServiceMap &services = configuration.services();
    return fmt::format("publication:\n{}\nservices:\n{}\n",
                       indented(writePublication(publication, configuration.version(), digestOf(services))),
                       indented(writeServices(services)));
}

Result<PublishedConfiguration> readPublishedConfiguration(const std::string &text)
{
    const std::string file = "published configuration";
    BOOST_LEAF_AUTO(root, loadYaml(file, text));
    const bool isPublished = root.IsMap() && root["publication"].IsMap() && root["services"].IsSequence();
    if (!isPublished) {
        return failure(Findings{findingAt(
            file, root, "is not a published configuration: 'publication' must be a map and 'services' a list")});
    }
    Findings findings;
    ServiceMap services;
    for (const YAML::Node &node : root["services"]) {
        const ServiceDeclaration service = readService(file, node, findings);
        services.insert_or_assign(service.name(), service);
    }
    if (!findings.empty()) {
        return failure(std::move(findings));
    }
    try {
        const YAML::Node publication = root["publication"];
        if (publication["digest"].as<std::string>() != digestOf(services)) {
            return failure(Findings{findingAt(file, publication, "the digest does not match the services")});
        }
        const auto version = publication["version"].as<ConfigurationVersion>(UnversionedPublication);
        if (version == 0) {
            return failure(Findings{findingAt(file, publication, "the version is 0")});
        }
        return PublishedConfiguration()
            .withConfiguration(Configuration().withVersion(version).withServices(std::move(services)))
            .withPublication(readPublication(publication));
    } catch (const YAML::Exception &error) {
        return failure(Findings{Finding(file, error.mark.line + 1, error.mark.column + 1, error.msg)});
    }
}

Result<Configuration> readConfiguration(const std::string &text)
{
    BOOST_LEAF_AUTO(published, readPublishedConfiguration(text));
    return published.configuration();
}

} // namespace fescuepond
