// `fescuepond publish`: collects declarations and publishes them to the platform's object store by one conditional
// write.

#include "core/pipeline/collections.h"
#include "core/pipeline/objectstore.h"
#include "core/verbs/verb.h"
#include "modules/declarations/configurationencoding.h"
#include "modules/declarations/declarationreader.h"
#include "servers/configuration/publishplan.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <unistd.h>

#include <array>
#include <cstdlib>
#include <thread>

DEFINE_string(platform, "", "IP and port of the platform's object API.");
DEFINE_int32(platform_timeout_ms, 2000, "Maximum wait for one response of the platform, in milliseconds.");
DEFINE_string(operator, "", "Name of the operator who publishes; default: user@host.");
DEFINE_int64(base, -1, "Version in force on which the folders are based; 0: none was published yet.");
DEFINE_bool(merge, false, "Keep services that are in force and not in the folders.");
DEFINE_bool(replace, false, "Remove services that are in force and not in the folders.");

namespace fescuepond
{

namespace
{

constexpr int MaxWriteAttempts = 4;
constexpr auto WriteRetryDelay = std::chrono::milliseconds(300);

std::string defaultOperator()
{
    const char *user = std::getenv("USER");
    std::array<char, 256> host{};
    gethostname(host.data(), host.size() - 1);
    return fmt::format("{}@{}", user == nullptr ? "unknown" : user, host.data());
}

std::string toText(std::chrono::system_clock::time_point time)
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(time));
}

ConfigurationVersion toVersion(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    return static_cast<ConfigurationVersion>(sinceEpoch.count());
}

PublishRequest makeRequest(const ServiceMap &services)
{
    MissingServicesPolicy missing = FLAGS_replace ? MissingServicesPolicy::Remove : MissingServicesPolicy::Reject;
    if (FLAGS_merge) {
        missing = MissingServicesPolicy::Keep;
    }
    const auto now = std::chrono::system_clock::now();
    auto request = PublishRequest()
                       .withNonce(PublicationNonce::random())
                       .withOperatorName(FLAGS_operator.empty() ? defaultOperator() : FLAGS_operator)
                       .withTime(toText(now))
                       .withEarliestVersion(toVersion(now))
                       .withServices(services)
                       .withMissingServices(missing);
    if (FLAGS_base >= 0) {
        request = request.withBaseVersion(static_cast<ConfigurationVersion>(FLAGS_base));
    }
    return request;
}

/// Reads, plans and writes one publication.
class Publisher
{
public:
    explicit Publisher(PublishRequest request)
        : m_store(connectStore(FLAGS_platform, std::chrono::milliseconds(FLAGS_platform_timeout_ms)))
        , m_request(std::move(request))
    {
    }

    Result<ExitCode> run()
    {
        const StoreReply read = m_store->get(collection::Configuration, collection::CurrentConfiguration);
        if (read.status() == StoreStatus::Unavailable) {
            fmt::print(stderr, "the platform at {} does not respond; nothing was published\n", FLAGS_platform);
            return ExitCode::Unreachable;
        }
        BOOST_LEAF_AUTO(current, decode(read));
        const PublishPlan plan = planPublication(current, m_request);
        if (plan.verdict() != PublishVerdict::Write) {
            return report(plan);
        }
        m_version = plan.next().configuration().version();
        const std::string text = writeConfiguration(plan.next().configuration(), plan.next().publication());
        if (text.size() > MaxConfigurationBytes) {
            return failure(fmt::format(
                "the configuration has {} bytes; the platform accepts at most {}", text.size(), MaxConfigurationBytes));
        }
        m_baseVersion = current.configuration().version();
        m_baseRevision = revisionIn(read);
        m_difference = plan.difference();
        return write(text);
    }

private:
    static Result<PublishedConfiguration> decode(const StoreReply &reply)
    {
        if (reply.status() != StoreStatus::Ok) {
            return PublishedConfiguration();
        }
        return readPublishedConfiguration(reply.objects().front().value());
    }

    static ExitCode report(const PublishPlan &plan)
    {
        if (plan.verdict() == PublishVerdict::Unchanged) {
            fmt::print("unchanged: {}\n", plan.message());
            return ExitCode::Done;
        }
        fmt::print(stderr, "{}; nothing was published\n", plan.message());
        return plan.verdict() == PublishVerdict::Conflict ? ExitCode::Conflict : ExitCode::Findings;
    }

    /// Writes `text`, and retries while the outcome of the write is unknown. The condition on the revision of the base
    /// prevents a second write from taking effect; the nonce identifies this publication when the object is read back.
    Result<ExitCode> write(const std::string &text)
    {
        for (int attempt = 0; attempt < MaxWriteAttempts; ++attempt) {
            if (attempt > 0) {
                std::this_thread::sleep_for(WriteRetryDelay);
            }
            const StoreReply written =
                m_store->put(collection::Configuration, collection::CurrentConfiguration, text, m_baseRevision);
            if (written.status() == StoreStatus::Ok) {
                return reportPublished(m_version);
            }
            const StoreReply read = m_store->get(collection::Configuration, collection::CurrentConfiguration);
            if (read.status() == StoreStatus::Unavailable) {
                continue;
            }
            BOOST_LEAF_AUTO(current, decode(read));
            const WriteOutcome outcome = outcomeOfWrite(current, m_request.nonce(), m_baseVersion);
            if (outcome != WriteOutcome::Pending) {
                return reportOutcome(current, outcome);
            }
            // The same base has another revision if the store was restored meanwhile.
            m_baseRevision = revisionIn(read);
        }
        return reportUnknownOutcome();
    }

    ExitCode reportOutcome(const PublishedConfiguration &current, WriteOutcome outcome) const
    {
        switch (outcome) {
        case WriteOutcome::InForce:
            return reportPublished(current.configuration().version());
        case WriteOutcome::Superseded:
            fmt::print("published, but already superseded by {}\n", describe(current));
            return ExitCode::Done;
        case WriteOutcome::NeverApplied:
            fmt::print(stderr,
                       "another publication was first: {}; publishing your folders on top of it {}; "
                       "nothing was published\n",
                       describe(current),
                       differenceOf(current.configuration().services(), m_request.services()).toString());
            return ExitCode::Conflict;
        case WriteOutcome::Pending:
        case WriteOutcome::Unknown:
            break;
        }
        return reportUnknownOutcome();
    }

    ExitCode reportPublished(ConfigurationVersion version) const
    {
        fmt::print("published version {}, which {}\n", version, m_difference.toString());
        return ExitCode::Done;
    }

    ExitCode reportUnknownOutcome() const
    {
        fmt::print(stderr,
                   "the platform did not confirm the write; it may have taken effect or may still do so. Run publish "
                   "again when the platform responds: a configuration that is already in force is not written twice\n");
        return ExitCode::Unreachable;
    }

    const std::unique_ptr<StoreConnection> m_store;
    const PublishRequest m_request;
    ConfigurationVersion m_version = 0; ///< Of this publication.
    ConfigurationVersion m_baseVersion = 0;
    ExpectedRevision m_baseRevision;
    ServiceDifference m_difference;
};

ExitCode run(const Arguments &arguments)
{
    if (FLAGS_platform.empty() || arguments.empty() || (FLAGS_merge && FLAGS_replace)) {
        fmt::print(stderr,
                   "usage: fescuepond publish --platform=ADDRESS [--base=VERSION] [--merge | --replace] DIR...\n");
        return ExitCode::Usage;
    }
    return reportFindings([&]() -> Result<ExitCode> {
        BOOST_LEAF_AUTO(services, collectDeclarations(arguments));
        return Publisher(makeRequest(services)).run();
    });
}

const VerbRegistration registration({"publish",
                                     "--platform=ADDRESS [--base=VERSION] [--merge | --replace] DIR...",
                                     "Collects the declarations under the folders, checks them and publishes them.",
                                     {"platform", "platform_timeout_ms", "operator", "base", "merge", "replace"},
                                     run});

} // namespace

} // namespace fescuepond
