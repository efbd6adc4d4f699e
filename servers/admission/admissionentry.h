// What the admission decisions know of a call that asks to be run, and what they decide.

#pragma once

#include "core/value.h"
#include "core/values/call.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuepond
{

/// Names one submission to a queue. It is given by the caller and never used twice at one queue.
using EntryId = std::uint64_t;

/// Place of a call in the order of importance: the least value is served first and shed last. The hash is the same at
/// every service, so that all of them shed the same root requests.
class ShedOrder
{
    FESCUEPOND_FIELD(Rank, rank, withRank);
    FESCUEPOND_FIELD(std::uint64_t, rootHash, withRootHash);
    FESCUEPOND_FIELD(EntryId, entryId, withEntryId);

public:
    friend auto operator<=>(const ShedOrder &, const ShedOrder &) = default;
};

/// A call that asks to be run.
class AdmissionEntry
{
    FESCUEPOND_FIELD(ShedOrder, order, withOrder);
    FESCUEPOND_FIELD(std::string, kind, withKind); ///< At the service that is asked.
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

/// Makes the entry of a call. The hash depends on the root request alone.
AdmissionEntry makeEntry(EntryId id, const CallContext &context);

/// The end of an entry's stay in a queue.
class AdmissionDecision
{
    FESCUEPOND_FIELD(EntryId, id, withId);
    FESCUEPOND_FIELD(Reason, rejection, withRejection); ///< None: the call may run now.

public:
    bool isAdmitted() const
    {
        return rejection() == Reason::None;
    }
    friend auto operator<=>(const AdmissionDecision &, const AdmissionDecision &) = default;
};

using AdmissionDecisions = std::vector<AdmissionDecision>;

/// How a call that ran has ended, as the limit and the histograms see it.
class RunSample
{
    FESCUEPOND_FIELD(Duration, serviceTime, withServiceTime); ///< From its start to its end, with its own calls below.
    FESCUEPOND_FIELD(bool, failed, withFailed); ///< The backend server gave no answer or said that it is overloaded.

public:
    friend auto operator<=>(const RunSample &, const RunSample &) = default;
};

} // namespace fescuepond
