// The processing of a call in a node: two pipelines whose stages are added by plug-ins.
//
// The entry pipeline runs at the node where a call enters the system: it classifies the call, ensures that a call with
// a key runs at most once, retries the call and sends it to a target. The target pipeline runs at the node of the
// chosen target: it checks fences, admits the call and runs it. A stage passes a call on by calling `next`, or
// completes it by calling `done`. `done` is called exactly once per call.

#pragma once

#include "core/values/call.h"

#include <functional>
#include <map>
#include <string>

namespace fescuepond
{

using Done = std::function<void(const CallOutcome &)>;
using Next = std::function<void(const CallRequest &, Done)>;

class CallStage
{
public:
    virtual ~CallStage() = default;
    virtual void handle(const CallRequest &call, const Next &next, Done done) = 0;
};

/// Positions in the entry pipeline, in processing order.
enum class EntryStage {
    Classify,
    PathCompletion, ///< Refuses requests of clients while hardly any of their kind ends well.
    ProcessorLoad, ///< Refuses requests of clients while this node has no processor time for them.
    Key, ///< Forwards calls that may run at most once to the owner of their key.
    PathLimit, ///< Limits the calls in flight per path; queues or rejects calls beyond the limit.
    PathHeadroom, ///< Records the path headroom reported by outcomes of calls without a known parent.
    Retry,
    Route, ///< Chooses a target and sends the call to it; the last stage.
};

/// Positions in the target pipeline, in processing order.
enum class TargetStage {
    Leaving, ///< Rejects new calls once the node's grace period for leaving is over.
    Fence, ///< Rejects attempts whose sender has been promised that they never run.
    ProcessorLoad, ///< Refuses calls while this node has no processor time for them.
    Quarantine,
    PathHeadroom, ///< Adds the recorded path headroom to outcomes if child calls don't name their parent.
    Admission,
    Run, ///< Sends the call to the backend server; the last stage.
};

/// The stages of a pipeline by position. Stages are added only while plug-ins start.
template<typename Position>
class CallPipeline
{
public:
    /// Each position has at most one stage.
    void add(Position position, CallStage &stage)
    {
        m_stages[position] = &stage;
    }

    /// Runs `call` through all stages.
    void submit(const CallRequest &call, Done done) const
    {
        runFrom(m_stages.begin(), call, std::move(done));
    }

    /// Runs `call` through the stages after `position`, for a call that another node has already passed through the
    /// earlier ones.
    void submitAfter(Position position, const CallRequest &call, Done done) const
    {
        runFrom(m_stages.upper_bound(position), call, std::move(done));
    }

private:
    using Stages = std::map<Position, CallStage *>;

    void runFrom(typename Stages::const_iterator stage, const CallRequest &call, Done done) const
    {
        if (stage == m_stages.end()) {
            done(CallOutcome::notRun(Reason::Internal, "no pipeline stage completed the call"));
            return;
        }
        const auto following = std::next(stage);
        stage->second->handle(
            call,
            [this, following](const CallRequest &passed, Done passedDone) {
                runFrom(following, passed, std::move(passedDone));
            },
            std::move(done));
    }

    Stages m_stages;
};

using EntryPipeline = CallPipeline<EntryStage>;
using TargetPipeline = CallPipeline<TargetStage>;

} // namespace fescuepond
