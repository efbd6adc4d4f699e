// Reports path headroom where the backend server's calls don't name the call they are made for (their parent).
//
// servers/pathlimit/headroombykind makes the decisions. One stage records the outcomes of calls that leave this VM, the
// other adds the headroom downstream to the outcomes of calls that run here.

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/kernel/strategy.h"
#include "core/pipeline/backenddialect.h"
#include "core/pipeline/interfaces.h"
#include "servers/admission/admissionqueue.h"
#include "servers/pathlimit/headroombykind.h"

#include <algorithm>
#include <memory>

namespace fescuepond
{

namespace
{

using SharedHeadroom = SharedTable<HeadroomByKind>;

/// The lower of the headroom at the called service and that of its path further downstream; 0 if not reported.
double headroomOf(const CallOutcome &outcome)
{
    if (outcome.targetLimit() <= 0) {
        return outcome.pathHeadroom();
    }
    const double own = std::min(MaxHeadroom, outcome.targetLimit() / std::max(1, outcome.targetInFlight()));
    return minHeadroom(own, outcome.pathHeadroom());
}

/// Entry stage: records the outcomes of calls of the backend server whose parent isn't known.
class ChildOutcomeRecorder final : public CallStage
{
public:
    ChildOutcomeRecorder(SharedHeadroom &table, const ParentResolver &parentResolver, const Clock &clock)
        : m_table(table)
        , m_parentResolver(parentResolver)
        , m_clock(clock)
    {
    }
    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        if (call.context().depth() > 0 || !m_parentResolver.isFromBackend(call.context().kind())) {
            next(call, std::move(done));
            return;
        }
        next(call, [this, kind = call.context().kind(), done = std::move(done)](const CallOutcome &outcome) {
            m_table.locked([&](HeadroomByKind &table) {
                table.childCompleted(kind, headroomOf(outcome), !isSuccess(outcome), m_clock.now());
            });
            done(outcome);
        });
    }

private:
    SharedHeadroom &m_table;
    const ParentResolver &m_parentResolver;
    const Clock &m_clock;
};

/// Target stage: adds the headroom downstream to the outcomes of calls that run here, and sets the reason of server
/// errors that the failure of a child call explains.
class HeadroomReporter final : public CallStage
{
public:
    HeadroomReporter(SharedHeadroom &table, const Clock &clock)
        : m_table(table)
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
        const bool canHaveFailedDownstream = isServerError(outcome) && outcome.reason() == Reason::None;
        return m_table.locked([&](HeadroomByKind &table) {
            const TimePoint now = m_clock.now();
            const bool isFailedDownstream = canHaveFailedDownstream && table.attributeServerError(kind, now);
            const CallOutcome withHeadroom =
                outcome.withPathHeadroom(minHeadroom(outcome.pathHeadroom(), table.headroomFor(kind, now)));
            return isFailedDownstream ? withHeadroom.withReason(Reason::ChildCallFailed) : withHeadroom;
        });
    }

    SharedHeadroom &m_table;
    const Clock &m_clock;
};

class PathHeadroomPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        BOOST_LEAF_AUTO(dialect, makeStrategy<BackendDialect>(kernel.settings().environment()));
        if (dialect->propagatesCallId()) {
            return {};
        }
        m_childOutcomeRecorder =
            std::make_unique<ChildOutcomeRecorder>(m_table, kernel.require<ParentResolver>(), kernel.clock());
        m_headroomReporter = std::make_unique<HeadroomReporter>(m_table, kernel.clock());
        kernel.require<EntryPipeline>().add(EntryStage::PathHeadroom, *m_childOutcomeRecorder);
        kernel.require<TargetPipeline>().add(TargetStage::PathHeadroom, *m_headroomReporter);
        return {};
    }

private:
    SharedHeadroom m_table{LockRank::PathHeadroom};
    std::unique_ptr<ChildOutcomeRecorder> m_childOutcomeRecorder;
    std::unique_ptr<HeadroomReporter> m_headroomReporter;
};

const auto registration = registerPlugin<PathHeadroomPlugin>("pathroom", {"pipelines", "parentage"});

} // namespace

} // namespace fescuepond
