// Carries the room further down to the answers of calls whose children don't name their parent.
//
// The decisions are those of servers/pathlimit/kindrooms. One stage sees how the calls end that leave this VM, the
// other adds to the outcomes of the calls that run here.

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/kernel/strategy.h"
#include "core/pipeline/backenddialect.h"
#include "core/pipeline/interfaces.h"
#include "servers/admission/admissionqueue.h"
#include "servers/pathlimit/kindrooms.h"

#include <algorithm>
#include <memory>

namespace fescuepond
{

namespace
{

using SharedRooms = SharedTable<KindRooms>;

/// The room that the outcome tells of the service that was called and of those below it; 0: unsaid.
double roomOf(const CallOutcome &outcome)
{
    if (outcome.targetLimit() <= 0) {
        return outcome.pathLimit();
    }
    const double own = std::min(MostRoom, outcome.targetLimit() / std::max(1, outcome.targetInFlight()));
    return leastRoom(own, outcome.pathLimit());
}

/// Entry stage: how calls of the backend server end whose parent isn't known.
class LeavingCalls final : public CallStage
{
public:
    LeavingCalls(SharedRooms &rooms, const CallParents &parents, const Clock &clock)
        : m_rooms(rooms)
        , m_parents(parents)
        , m_clock(clock)
    {
    }
    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        if (call.context().depth() > 0 || !m_parents.isFromBackend(call.context().kind())) {
            next(call, std::move(done));
            return;
        }
        next(call, [this, kind = call.context().kind(), done = std::move(done)](const CallOutcome &outcome) {
            m_rooms.locked([&](KindRooms &rooms) {
                rooms.childEnded(kind, roomOf(outcome), !isSuccess(outcome), m_clock.now());
            });
            done(outcome);
        });
    }

private:
    SharedRooms &m_rooms;
    const CallParents &m_parents;
    const Clock &m_clock;
};

/// Target stage: adds what is known of the services below to the outcomes of the calls that run here.
class RunningCalls final : public CallStage
{
public:
    RunningCalls(SharedRooms &rooms, const Clock &clock)
        : m_rooms(rooms)
        , m_clock(clock)
    {
    }
    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        next(call, [this, kind = call.context().kind(), done = std::move(done)](const CallOutcome &outcome) {
            done(completed(kind, outcome));
        });
    }

private:
    CallOutcome completed(const std::string &kind, const CallOutcome &outcome)
    {
        const bool mayHaveFailedBelow = isServerError(outcome) && outcome.reason() == Reason::None;
        return m_rooms.locked([&](KindRooms &rooms) {
            const TimePoint now = m_clock.now();
            const bool isFailedBelow = mayHaveFailedBelow && rooms.parentFailed(kind, now);
            const CallOutcome told = outcome.withPathLimit(leastRoom(outcome.pathLimit(), rooms.roomFor(kind, now)));
            return isFailedBelow ? told.withReason(Reason::FailedBelow) : told;
        });
    }

    SharedRooms &m_rooms;
    const Clock &m_clock;
};

class PathRoomPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        BOOST_LEAF_AUTO(dialect, makeStrategy<BackendDialect>(kernel.settings().environment()));
        if (dialect->childrenNameParent()) {
            return {};
        }
        m_leaving = std::make_unique<LeavingCalls>(m_rooms, kernel.require<CallParents>(), kernel.clock());
        m_running = std::make_unique<RunningCalls>(m_rooms, kernel.clock());
        kernel.require<EntryPipeline>().add(EntryPlace::PathRoom, *m_leaving);
        kernel.require<TargetPipeline>().add(TargetPlace::PathRoom, *m_running);
        return {};
    }

private:
    SharedRooms m_rooms{LockRank::PathRoom};
    std::unique_ptr<LeavingCalls> m_leaving;
    std::unique_ptr<RunningCalls> m_running;
};

const auto registration = registerPlugin<PathRoomPlugin>("pathroom", {"pipelines", "parentage"});

} // namespace

} // namespace fescuepond
