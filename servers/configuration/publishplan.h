// Decides what a publishing operator may write, and what became of a write whose answer was lost.

#pragma once

#include "servers/configuration/publication.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuepond
{

/// What to do with services that are in force and that the operator's folders don't declare.
enum class MissingServices {
    Reject,
    Keep,
    Remove,
};

/// What an operator asks for.
class PublishRequest
{
    FESCUEPOND_FIELD(PublicationNonce, nonce, withNonce);
    FESCUEPOND_FIELD(std::string, operatorName, withOperatorName);
    FESCUEPOND_FIELD(std::string, time, withTime);
    FESCUEPOND_FIELD(ServiceMap, services, withServices);
    FESCUEPOND_FIELD(std::optional<ObjectVersion>, baseVersion, withBaseVersion); ///< That the operator has seen.
    FESCUEPOND_FIELD(MissingServices, missingServices, withMissingServices);

public:
    friend auto operator<=>(const PublishRequest &, const PublishRequest &) = default;
};

/// Names of the services in which two configurations differ.
class ServiceDifference
{
    FESCUEPOND_FIELD(std::vector<std::string>, added, withAdded);
    FESCUEPOND_FIELD(std::vector<std::string>, changed, withChanged);
    FESCUEPOND_FIELD(std::vector<std::string>, removed, withRemoved);

public:
    bool isEmpty() const;
    /// As in "adds a; changes b, c; removes d".
    std::string toString() const;
    friend auto operator<=>(const ServiceDifference &, const ServiceDifference &) = default;
};

ServiceDifference differenceOf(const ServiceMap &before, const ServiceMap &after);

enum class PublishVerdict {
    Write,
    Unchanged, ///< Exactly this is in force already.
    Conflict, ///< Another operator's change would be overwritten unseen.
    MissingServices, ///< Services would vanish.
};

class PublishPlan
{
    FESCUEPOND_FIELD(PublishVerdict, verdict, withVerdict);
    FESCUEPOND_FIELD(std::string, message, withMessage); ///< For the operator, when nothing is to be written.
    FESCUEPOND_FIELD(ServiceDifference, difference, withDifference);
    FESCUEPOND_FIELD(PublishedConfiguration, next, withNext); ///< To be written on top of the current version.

public:
    friend auto operator<=>(const PublishPlan &, const PublishPlan &) = default;
};

/// Plans the write of `request` on top of `current`.
PublishPlan planPublication(const PublishedConfiguration &current, const PublishRequest &request);

/// What is known of a write after the object was read again.
enum class WriteOutcome {
    InForce, ///< The object is the writer's own.
    Superseded, ///< It took effect, and others published on top of it since.
    Pending, ///< The object is still at the base: the write may be under way.
    NeverApplied, ///< Others published on top of the base: the write never takes effect.
    Unknown, ///< The history doesn't reach back to the base.
};

WriteOutcome outcomeOfWrite(const PublishedConfiguration &current, const PublicationNonce &nonce, ObjectVersion base);

/// "version 7, published by anna@desk at 2026-12-04T11:30:00Z".
std::string describe(const PublishedConfiguration &published);

} // namespace fescuepond
