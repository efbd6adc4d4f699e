// Decides whether an operator's publication is written, and determines the outcome of a write whose answer was lost.

#pragma once

#include "servers/configuration/publication.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuepond
{

/// What to do with services that are in force but not declared in the operator's folders.
enum class MissingServicesPolicy {
    Reject,
    Keep,
    Remove,
};

/// A publication as the operator requests it.
class PublishRequest
{
    FESCUEPOND_FIELD(PublicationNonce, nonce, withNonce);
    FESCUEPOND_FIELD(std::string, operatorName, withOperatorName);
    FESCUEPOND_FIELD(std::string, time, withTime);
    /// The same time as a version. Wall clocks order publications over a restore of the store from an older copy, where
    /// the version before this one may be lost.
    FESCUEPOND_FIELD(ConfigurationVersion, earliestVersion, withEarliestVersion);
    FESCUEPOND_FIELD(ServiceMap, services, withServices);
    /// The version that the operator last saw; optional.
    FESCUEPOND_FIELD(std::optional<ConfigurationVersion>, baseVersion, withBaseVersion);
    FESCUEPOND_FIELD(MissingServicesPolicy, missingServices, withMissingServices);

public:
    friend auto operator<=>(const PublishRequest &, const PublishRequest &) = default;
};

/// Names of the services that differ between two configurations.
class ServiceDifference
{
    FESCUEPOND_FIELD(std::vector<std::string>, added, withAdded);
    FESCUEPOND_FIELD(std::vector<std::string>, changed, withChanged);
    FESCUEPOND_FIELD(std::vector<std::string>, removed, withRemoved);

public:
    bool isEmpty() const;
    /// For example "adds a; changes b, c; removes d".
    std::string toString() const;
    friend auto operator<=>(const ServiceDifference &, const ServiceDifference &) = default;
};

ServiceDifference differenceOf(const ServiceMap &before, const ServiceMap &after);

enum class PublishVerdict {
    Write,
    Unchanged, ///< The same declarations are already in force.
    Conflict, ///< The publication would overwrite a change by another operator, or `baseVersion` is out of date.
    MissingServices, ///< The publication would remove services, which the policy rejects.
};

class PublishPlan
{
    FESCUEPOND_FIELD(PublishVerdict, verdict, withVerdict);
    FESCUEPOND_FIELD(std::string, message, withMessage); ///< For the operator, unless the verdict is Write.
    FESCUEPOND_FIELD(ServiceDifference, difference, withDifference);
    FESCUEPOND_FIELD(PublishedConfiguration, next, withNext); ///< To be written on condition of the current version.

public:
    friend auto operator<=>(const PublishPlan &, const PublishPlan &) = default;
};

/// Plans the write of `request` on top of `current`. The new version is greater than the current one and at least the
/// request's earliest one.
PublishPlan planPublication(const PublishedConfiguration &current, const PublishRequest &request);

/// Outcome of a write as far as a later read of the object shows it.
enum class WriteOutcome {
    InForce, ///< The object is the one written.
    Superseded, ///< The write took effect; later publications have replaced it.
    Pending, ///< The object still has the base version: the write may yet take effect.
    NeverApplied, ///< Another publication replaced the base version first: the write can no longer take effect.
    Unknown, ///< The history doesn't reach back to the base version.
};

WriteOutcome
outcomeOfWrite(const PublishedConfiguration &current, const PublicationNonce &nonce, ConfigurationVersion base);

/// For example "version 7, published by anna@desk at 2026-12-04T11:30:00Z".
std::string describe(const PublishedConfiguration &published);

} // namespace fescuepond
