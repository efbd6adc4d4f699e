// The calls that the local backend server is running, and the retry allowance that each shares with its child calls.

#include "core/pipeline/callsinflight.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{

/// A child call's deadline differs from its parent's by two roundings down to milliseconds and by the time that a
/// message between two processes of one VM takes.
constexpr Duration DeadlineTolerance = std::chrono::microseconds(2500);
/// Other deadlines within this distance are counted to estimate their density.
constexpr Duration DensityWindow = std::chrono::milliseconds(50);

} // namespace

CallContext childOf(const CallContext &parent)
{
    return CallContext()
        .withRootId(parent.rootId())
        .withRootKind(parent.rootKind())
        .withRank(parent.rank())
        .withKeptShare(parent.keptShare())
        .withDeadline(parent.deadline())
        .withDepth(parent.depth() + 1)
        // A non-idempotent call runs to completion even if its caller gives up, so its child calls are not cancelled.
        .withParentAttempt(parent.idempotent() ? parent.attemptId() : AttemptId());
}

void CallsInFlight::add(const CallContext &context)
{
    m_table.locked([&](Table &table) {
        table.insert_or_assign(context.callId(), Entry{context});
    });
}

CallOutcome CallsInFlight::remove(const CallId &callId, const CallOutcome &outcome)
{
    return m_table.locked([&](Table &table) {
        const auto found = table.find(callId);
        if (found == table.end()) {
            return outcome.withUnusedAllowance(0);
        }
        const Entry entry = found->second;
        table.erase(found);
        const bool isCausedByChildCall = entry.m_hasFailedChild && isServerError(outcome);
        const CallOutcome completed = isCausedByChildCall ? outcome.withReason(Reason::ChildCallFailed) : outcome;
        return completed.withUnusedAllowance(entry.m_context.retryAllowance()).withPathHeadroom(entry.m_headroomBelow);
    });
}

std::optional<CallContext> CallsInFlight::find(const CallId &callId) const
{
    return m_table.locked([&](const Table &table) -> std::optional<CallContext> {
        const auto found = table.find(callId);
        return found == table.end() ? std::nullopt : std::optional(found->second.m_context);
    });
}

DeadlineMatch CallsInFlight::findByDeadline(TimePoint deadline) const
{
    return m_table.locked([&](const Table &table) {
        DeadlineMatch match;
        const CallContext *nearest = nullptr;
        Duration nearestDistance = DeadlineTolerance;
        double nearbyCount = 0;
        for (const auto &[callId, entry] : table) {
            const Duration difference = entry.m_context.deadline() - deadline;
            match.canBeChild = match.canBeChild || difference >= -DeadlineTolerance;
            const Duration distance = std::chrono::abs(difference);
            nearbyCount += distance > DeadlineTolerance && distance <= DensityWindow ? 1 : 0;
            if (distance <= nearestDistance) {
                nearest = &entry.m_context;
                nearestDistance = distance;
            }
        }
        if (nearest != nullptr) {
            match.nearest = *nearest;
        }
        const double expectedCount =
            nearbyCount * std::chrono::duration<double>(DeadlineTolerance) / (DensityWindow - DeadlineTolerance);
        match.coincidenceProbability = 1 - std::exp(-expectedCount);
        return match;
    });
}

int CallsInFlight::takeAllowance(const CallId &callId)
{
    return m_table.locked([&](Table &table) {
        const auto found = table.find(callId);
        if (found == table.end()) {
            return 0;
        }
        CallContext &context = found->second.m_context;
        // Half, rounded up: a chain of calls can pass its last retry to the deepest call, and concurrent sibling calls
        // get a portion, too.
        const int portion = (context.retryAllowance() + 1) / 2;
        context = context.withRetryAllowance(context.retryAllowance() - portion);
        return portion;
    });
}

void CallsInFlight::onChildCompleted(const CallId &callId, const CallOutcome &outcome)
{
    m_table.locked([&](Table &table) {
        const auto found = table.find(callId);
        if (found == table.end()) {
            return;
        }
        CallContext &context = found->second.m_context;
        context = context.withRetryAllowance(context.retryAllowance() + outcome.unusedAllowance());
        found->second.m_hasFailedChild = found->second.m_hasFailedChild || !isSuccess(outcome);
        found->second.m_headroomBelow = minHeadroom(found->second.m_headroomBelow, outcome.pathHeadroom());
    });
}

std::size_t CallsInFlight::size() const
{
    return m_table.locked([](const Table &table) {
        return table.size();
    });
}

} // namespace fescuepond
