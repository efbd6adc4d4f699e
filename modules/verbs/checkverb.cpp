// `fescuepond check`: validates declarations and settings without using the network.

#include "core/settings/settingsreader.h"
#include "core/verbs/verb.h"
#include "modules/declarations/configurationencoding.h"
#include "modules/declarations/declarationreader.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DECLARE_string(settings);

namespace fescuepond
{

namespace
{

/// Runs a check and adds its findings to `findings`.
void collectFindings(Findings &findings, const std::function<Result<void>()> &check)
{
    boost::leaf::try_handle_all(
        check,
        [&](const Findings &found) {
            findings.insert(findings.end(), found.begin(), found.end());
        },
        [&] {
            findings.emplace_back("", 0, 0, "unexpected error");
        });
}

Result<void> checkDeclarations(const Arguments &folders)
{
    BOOST_LEAF_AUTO(services, collectDeclarations(folders));
    const std::size_t bytes = writeConfiguration(Configuration().withServices(services)).size();
    if (bytes > MaxConfigurationBytes) {
        return failure(fmt::format(
            "the configuration has {} bytes; the platform accepts at most {}", bytes, MaxConfigurationBytes));
    }
    std::size_t kinds = 0;
    for (const auto &[name, service] : services) {
        kinds += service.kinds().size();
    }
    fmt::print("declarations: {} services, {} kinds, {} bytes\n", services.size(), kinds, bytes);
    return {};
}

Result<void> checkSettings()
{
    BOOST_LEAF_AUTO(settings, readSettingsFile(FLAGS_settings));
    fmt::print("settings: node {} of service {} in zone {}\n", settings.name(), settings.service(), settings.zone());
    return {};
}

ExitCode run(const Arguments &folders)
{
    if (folders.empty() && FLAGS_settings.empty()) {
        fmt::print(stderr, "usage: fescuepond check [--settings=FILE] [DIR...]\n");
        return ExitCode::Usage;
    }
    Findings findings;
    if (!FLAGS_settings.empty()) {
        collectFindings(findings, checkSettings);
    }
    if (!folders.empty()) {
        collectFindings(findings, [&] {
            return checkDeclarations(folders);
        });
    }
    fmt::print(stderr, "{}", toString(findings));
    return findings.empty() ? ExitCode::Done : ExitCode::Findings;
}

const VerbRegistration registration({"check",
                                     "[--settings=FILE] [DIR...]",
                                     "Checks declarations and settings without using the network.",
                                     {"settings"},
                                     run});

} // namespace

} // namespace fescuepond
