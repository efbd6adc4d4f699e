// `fescuepond publish`: collects and checks declarations and makes them the configuration in force.

#include "core/pipeline/collections.h"
#include "core/verbs/verb.h"
#include "modules/declarations/declarationreader.h"
#include "modules/platform/platformclient.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(platform, "", "IP and port of the platform's object API.");
DEFINE_int32(platform_timeout_ms, 2000, "Longest wait for one answer of the platform, in milliseconds.");

namespace fescuepond
{

namespace
{

Result<ExitCode> publish(const Arguments &folders)
{
    BOOST_LEAF_AUTO(services, collectDeclarations(folders));
    const std::string text = writeConfiguration(services);
    const PlatformClient platform(FLAGS_platform, std::chrono::milliseconds(FLAGS_platform_timeout_ms));
    const PlatformReply current = platform.get(collection::Configuration, collection::CurrentConfiguration);
    if (current.status() == PlatformStatus::Unavailable) {
        fmt::print(stderr, "the platform at {} does not answer; nothing was published\n", FLAGS_platform);
        return ExitCode::Unreachable;
    }
    const ObjectVersion known = current.status() == PlatformStatus::Ok ? current.objects().front().version() : 0;
    const PlatformReply written =
        platform.put(collection::Configuration, collection::CurrentConfiguration, text, known);
    if (written.status() == PlatformStatus::Ok) {
        fmt::print("published version {}\n", written.objects().front().version());
        return ExitCode::Done;
    }
    if (written.status() == PlatformStatus::Conflict) {
        fmt::print(stderr, "somebody else published after version {}; nothing was published\n", known);
        return ExitCode::Conflict;
    }
    fmt::print(stderr, "the platform did not answer the write; it may have taken effect\n");
    return ExitCode::Unreachable;
}

ExitCode run(const Arguments &arguments)
{
    if (FLAGS_platform.empty() || arguments.empty()) {
        fmt::print(stderr, "usage: fescuepond publish --platform=ADDRESS DIR...\n");
        return ExitCode::Usage;
    }
    return reportFindings([&] {
        return publish(arguments);
    });
}

const VerbRegistration registration({"publish",
                                     "--platform=ADDRESS DIR...",
                                     "Collects the declarations under the folders, checks them and publishes them.",
                                     {"platform", "platform_timeout_ms"},
                                     run});

} // namespace

} // namespace fescuepond
