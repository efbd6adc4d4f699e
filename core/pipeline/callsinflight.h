// The calls that the local backend server runs at this moment.
//
// A backend copies the call identifier of the request that it serves to the calls it makes. The local listener looks
// it up here, and so knows the root request, rank, deadline and retry allowance without trusting a header.

#pragma once

#include "core/kernel/sharedtable.h"
#include "core/values/call.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace fescuepond
{

class CallsInFlight
{
public:
    void add(const CallContext &context);
    /// Removes a call and returns what is left of its retry allowance.
    int remove(const CallId &callId);
    /// The context of the call, or nothing when it doesn't run here.
    std::optional<CallContext> find(const CallId &callId) const;
    /// Takes up to `wanted` retries from the call's allowance and returns how many were taken.
    int takeAllowance(const CallId &callId, int wanted);
    /// Gives unused retries back; ignored when the call has ended.
    void returnAllowance(const CallId &callId, int unused);
    /// Notes what an answer to a call made by `callId` told of the room on its path; 0 tells nothing.
    void noteRoomBelow(const CallId &callId, double room);
    /// The least room that was noted; 0 when none was.
    double roomBelow(const CallId &callId) const;
    std::size_t size() const;

private:
    struct Entry {
        CallContext m_context;
        double m_roomBelow = 0; ///< Least of those that were told.
    };
    using Table = std::unordered_map<CallId, Entry>;
    SharedTable<Table> m_table{LockRank::CallsInFlight};
};

} // namespace fescuepond
