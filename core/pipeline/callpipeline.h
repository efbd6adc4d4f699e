// The path of a call through a node, as two pipelines of stages that plug-ins fill.
//
// The entry pipeline runs where a call enters the system: it classifies the call, guards its key, retries it and sends
// it to a target. The target pipeline runs at the node of the chosen target: it fences, admits and runs the call. A
// stage passes a call on with `next`, or ends it by calling `done` itself. `done` is called exactly once for a call.

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

/// Places in the entry pipeline, in the order in which a call passes them.
enum class EntryStage {
    Classify,
    Key, ///< Calls that may run at most once go to the home of their key.
    PathLimit,
    PathHeadroom, ///< Notes what the outcomes of calls without a known parent tell of the services below.
    Retry,
    Route, ///< Chooses a target and sends; ends the pipeline.
};

/// Places in the target pipeline, in the order in which a call passes them.
enum class TargetStage {
    Leaving, ///< Refuses new calls once the node has left.
    Fence, ///< Refuses attempts that were declared as never to run.
    Quarantine,
    PathHeadroom, ///< Tells the room of the services below, where children do not name their parent.
    Admission,
    Run, ///< Sends to the backend server; ends the pipeline.
};

/// The stages of a pipeline by position. Filled while plug-ins start; after that only read.
template<typename Position>
class CallPipeline
{
public:
    /// A position has at most one stage.
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
            done(CallOutcome::notRun(Reason::Internal, "no stage ends the pipeline"));
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
