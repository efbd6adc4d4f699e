// The calls that the local backend server runs: the table and the allowance that its calls share.

#include "core/pipeline/callsinflight.h"

#include <algorithm>
#include <cmath>

namespace fescuepond
{

namespace
{

/// A deadline is rounded down to milliseconds twice, and a message between two processes of one VM takes as long.
constexpr Duration DeadlineTolerance = std::chrono::microseconds(2500);
/// Within this distance the deadlines of other calls are counted, to tell how dense they lie.
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
        // The calls of a non-idempotent call are never cancelled with it: it runs to its end.
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
        const CallOutcome ended = isCausedByChildCall ? outcome.withReason(Reason::ChildCallFailed) : outcome;
        return ended.withUnusedAllowance(entry.m_context.retryAllowance()).withPathHeadroom(entry.m_headroomBelow);
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
        Duration least = DeadlineTolerance;
        double nearbyCount = 0;
        for (const auto &[callId, entry] : table) {
            const Duration later = entry.m_context.deadline() - deadline;
            match.canBeChild = match.canBeChild || later >= -DeadlineTolerance;
            const Duration distance = std::chrono::abs(later);
            nearbyCount += distance > DeadlineTolerance && distance <= DensityWindow ? 1 : 0;
            if (distance <= least) {
                match.nearest = entry.m_context;
                least = distance;
            }
        }
        const double expected =
            nearbyCount * std::chrono::duration<double>(DeadlineTolerance) / (DensityWindow - DeadlineTolerance);
        match.coincidenceProbability = 1 - std::exp(-expected);
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
        // Half, rounded up: a chain passes its last retry down to the end, and siblings called at once get some too.
        const int taken = (context.retryAllowance() + 1) / 2;
        context = context.withRetryAllowance(context.retryAllowance() - taken);
        return taken;
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
