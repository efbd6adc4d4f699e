// Decides whether an operator's publication is written, and determines the outcome of a write whose answer was lost.

#include "servers/configuration/publishplan.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace fescuepond
{

namespace
{

/// A writer can determine the outcome of its write until this many later publications have been made.
constexpr std::size_t MaxHistoryEntries = 32;

/// Services last changed by operators other than `self`, as "yard (by anna at TIME)".
std::vector<std::string>
changesByOthers(const Publication &publication, const std::vector<std::string> &services, const std::string &self)
{
    std::vector<std::string> found;
    for (const std::string &service : services) {
        const ServiceChange *change = publication.lastChangeOf(service);
        if (change != nullptr && change->operatorName() != self) {
            found.push_back(fmt::format("{} (by {} at {})", service, change->operatorName(), change->time()));
        }
    }
    return found;
}

ServiceMap servicesToPublish(const ServiceMap &current, const PublishRequest &request)
{
    ServiceMap services = request.services();
    if (request.missingServices() == MissingServicesPolicy::Keep) {
        services.insert(current.begin(), current.end());
    }
    return services;
}

Publication nextPublication(const PublishedConfiguration &current,
                            const PublishRequest &request,
                            const ServiceMap &services,
                            const ServiceDifference &difference)
{
    PublicationHistory history = {PublicationEntry()
                                      .withNonce(request.nonce())
                                      .withOperatorName(request.operatorName())
                                      .withTime(request.time())
                                      .withBaseVersion(current.configuration().version())};
    const PublicationHistory &earlier = current.publication().history();
    const std::size_t kept = std::min(earlier.size(), MaxHistoryEntries - 1);
    history.insert(history.end(), earlier.begin(), earlier.begin() + static_cast<std::ptrdiff_t>(kept));

    ServiceChanges changes;
    for (const auto &[name, service] : services) {
        const ServiceChange *earlierChange = current.publication().lastChangeOf(name);
        const bool isChangedNow =
            std::ranges::count(difference.added(), name) + std::ranges::count(difference.changed(), name) > 0;
        if (isChangedNow || earlierChange == nullptr) {
            changes.push_back(
                ServiceChange().withService(name).withOperatorName(request.operatorName()).withTime(request.time()));
            continue;
        }
        changes.push_back(*earlierChange);
    }
    return Publication().withHistory(std::move(history)).withChanges(std::move(changes));
}

PublishPlan rejected(PublishVerdict verdict, const ServiceDifference &difference, std::string message)
{
    return PublishPlan().withVerdict(verdict).withDifference(difference).withMessage(std::move(message));
}

} // namespace

const ServiceChange *Publication::lastChangeOf(const std::string &service) const
{
    const auto found = std::find_if(m_changes.begin(), m_changes.end(), [&](const ServiceChange &change) {
        return change.service() == service;
    });
    return found == m_changes.end() ? nullptr : &*found;
}

bool ServiceDifference::isEmpty() const
{
    return m_added.empty() && m_changed.empty() && m_removed.empty();
}

std::string ServiceDifference::toString() const
{
    std::vector<std::string> parts;
    const auto add = [&](const char *verb, const std::vector<std::string> &names) {
        if (!names.empty()) {
            parts.push_back(fmt::format("{} {}", verb, fmt::join(names, ", ")));
        }
    };
    add("adds", m_added);
    add("changes", m_changed);
    add("removes", m_removed);
    return parts.empty() ? "changes nothing" : fmt::format("{}", fmt::join(parts, "; "));
}

ServiceDifference differenceOf(const ServiceMap &before, const ServiceMap &after)
{
    std::vector<std::string> added;
    std::vector<std::string> changed;
    std::vector<std::string> removed;
    for (const auto &[name, service] : after) {
        const auto found = before.find(name);
        if (found == before.end()) {
            added.push_back(name);
        } else if (found->second != service) {
            changed.push_back(name);
        }
    }
    for (const auto &[name, service] : before) {
        if (!after.contains(name)) {
            removed.push_back(name);
        }
    }
    return ServiceDifference().withAdded(added).withChanged(changed).withRemoved(removed);
}

PublishPlan planPublication(const PublishedConfiguration &current, const PublishRequest &request)
{
    const ServiceMap &inForce = current.configuration().services();
    const ServiceMap services = servicesToPublish(inForce, request);
    const ServiceDifference difference = differenceOf(inForce, services);
    const ConfigurationVersion version = current.configuration().version();
    if (request.baseVersion() && *request.baseVersion() != version) {
        return rejected(PublishVerdict::Conflict,
                        difference,
                        fmt::format("--base gives version {}, but {} is in force; publishing your folders on top of "
                                    "it {}",
                                    *request.baseVersion(),
                                    describe(current),
                                    difference.toString()));
    }
    const bool isUnchanged = version != 0 && difference.isEmpty();
    if (isUnchanged) {
        return rejected(PublishVerdict::Unchanged, difference, describe(current) + " already has these declarations");
    }
    if (request.missingServices() == MissingServicesPolicy::Reject && !difference.removed().empty()) {
        return rejected(
            PublishVerdict::MissingServices,
            difference,
            fmt::format("services in force but not in your folders: {}; add their folders, or give --merge to "
                        "keep them or --replace to remove them",
                        fmt::join(difference.removed(), ", ")));
    }
    if (!request.baseVersion()) {
        std::vector<std::string> touched = difference.changed();
        touched.insert(touched.end(), difference.removed().begin(), difference.removed().end());
        const auto others = changesByOthers(current.publication(), touched, request.operatorName());
        if (!others.empty()) {
            return rejected(PublishVerdict::Conflict,
                            difference,
                            fmt::format("this would overwrite changes by others: {}; {} is in force; give "
                                        "--base={} once your folders include them",
                                        fmt::join(others, ", "),
                                        describe(current),
                                        version));
        }
    }
    const auto next =
        PublishedConfiguration()
            .withConfiguration(
                Configuration().withVersion(std::max(version + 1, request.earliestVersion())).withServices(services))
            .withPublication(nextPublication(current, request, services, difference));
    return PublishPlan().withVerdict(PublishVerdict::Write).withDifference(difference).withNext(next);
}

WriteOutcome
outcomeOfWrite(const PublishedConfiguration &current, const PublicationNonce &nonce, ConfigurationVersion base)
{
    if (current.configuration().version() == base) {
        return WriteOutcome::Pending;
    }
    const PublicationHistory &history = current.publication().history();
    for (std::size_t i = 0; i < history.size(); ++i) {
        if (history[i].nonce() == nonce) {
            return i == 0 ? WriteOutcome::InForce : WriteOutcome::Superseded;
        }
        if (history[i].baseVersion() == base) {
            return WriteOutcome::NeverApplied;
        }
    }
    return WriteOutcome::Unknown;
}

std::string describe(const PublishedConfiguration &published)
{
    const PublicationHistory &history = published.publication().history();
    const ConfigurationVersion version = published.configuration().version();
    if (version == 0) {
        return "no version";
    }
    if (history.empty()) {
        return fmt::format("version {}, published by an unknown operator", version);
    }
    return fmt::format("version {}, published by {} at {}", version, history[0].operatorName(), history[0].time());
}

} // namespace fescuepond
