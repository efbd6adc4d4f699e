// Input and result of admission decisions.

#pragma once

#include "core/value.h"
#include "core/values/call.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuepond
{

/// Identifies one submission to a queue. Assigned by the caller and never reused at one queue.
using EntryId = std::uint64_t;

/// Importance of a call: the lowest value is admitted first and shed last. The hash depends on the root request alone,
/// so that all services shed the calls of the same root requests.
class ShedOrder
{
    FESCUEPOND_FIELD(Rank, rank, withRank);
    FESCUEPOND_FIELD(std::uint64_t, rootHash, withRootHash);
    FESCUEPOND_FIELD(EntryId, entryId, withEntryId);

public:
    friend auto operator<=>(const ShedOrder &, const ShedOrder &) = default;
};

/// A call that is submitted for admission.
class AdmissionEntry
{
    FESCUEPOND_FIELD(ShedOrder, order, withOrder);
    FESCUEPOND_FIELD(std::string, kind, withKind); ///< At the called service.
    FESCUEPOND_FIELD(std::string, rootKind, withRootKind);
    FESCUEPOND_FIELD(double, keptShare, withKeptShare); ///< Declared for the root kind, 0 to 1.
    FESCUEPOND_FIELD(TimePoint, deadline, withDeadline);

public:
    EntryId id() const
    {
        return order().entryId();
    }
    friend auto operator<=>(const AdmissionEntry &, const AdmissionEntry &) = default;
};

AdmissionEntry makeEntry(EntryId id, const CallContext &context);

/// Admission or rejection of an entry.
class AdmissionDecision
{
    FESCUEPOND_FIELD(EntryId, id, withId);
    FESCUEPOND_FIELD(Reason, rejection, withRejection); ///< None if the call is admitted.

public:
    bool isAdmitted() const
    {
        return rejection() == Reason::None;
    }
    friend auto operator<=>(const AdmissionDecision &, const AdmissionDecision &) = default;
};

using AdmissionDecisions = std::vector<AdmissionDecision>;

/// Result of a call that ran, as input to the limit and the service times.
class RunSample
{
    FESCUEPOND_FIELD(Duration, serviceTime, withServiceTime); ///< Includes the calls that it made downstream.
    FESCUEPOND_FIELD(bool, isFailed, withIsFailed); ///< The backend server was lost or unreachable.

public:
    friend auto operator<=>(const RunSample &, const RunSample &) = default;
};

} // namespace fescuepond
