// Entry stage that refuses requests of clients whose path hardly ever ends well now, before any work is done for them.
//
// servers/pathlimit/pathcompletion makes the decisions. Calls that a backend server makes pass through, since work has
// been done for them: only kinds that certainly come from clients are limited.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/interfaces.h"
#include "servers/admission/admissionentry.h"
#include "servers/pathlimit/pathcompletion.h"
#include "servers/pathlimit/pathlimiter.h"

#include <fmt/format.h>

#include <map>
#include <optional>

namespace fescuepond
{

namespace
{

PathKey pathOf(const CallRequest &call)
{
    return PathKey().withService(call.service()).withKind(call.context().kind());
}

class PathCompletionPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_parents = &kernel.require<ParentResolver>();
        kernel.require<EntryPipeline>().add(EntryStage::PathCompletion, *this);
        return {};
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        const CallContext &context = call.context();
        if (context.depth() > 0 || !m_parents->isFromClients(context.kind())) {
            next(call, std::move(done));
            return;
        }
        PathKey path = pathOf(call);
        const std::uint64_t hash = makeEntry(0, context).order().rootHash();
        const TimePoint now = m_kernel->clock().now();
        const auto refusing = m_paths.locked([&](Paths &paths) -> std::optional<PathCompletion> {
            const auto found = paths.find(path);
            const bool isRefused = found != paths.end() && !found->second.admits(hash, now);
            return isRefused ? std::optional(found->second) : std::nullopt;
        });
        if (refusing) {
            refuse(call, *refusing, now, done);
            return;
        }
        next(call, [this, path = std::move(path), done = std::move(done)](const CallOutcome &outcome) {
            m_paths.locked([&](Paths &paths) {
                paths[path].ended(pathEndOf(outcome), m_kernel->clock().now());
            });
            done(outcome);
        });
    }

private:
    /// One for each declared kind whose requests have entered here.
    using Paths = std::map<PathKey, PathCompletion>;

    void refuse(const CallRequest &call, const PathCompletion &completion, TimePoint now, const Done &done)
    {
        const CallContext &context = call.context();
        m_kernel->metrics().count("fescuepond_path_incomplete_total", {{"kind", context.kind()}});
        Event("path_incomplete")
            .with("attempt", context.callerAttempt())
            .with("root", context.rootId().toString())
            .with("kind", context.kind())
            .with("rank", context.rank())
            .with("share", fmt::format("{:.2f}", completion.share(now)));
        done(CallOutcome::notRun(Reason::Overload, "requests of this kind hardly ever succeed now")
                 .withUnusedAllowance(context.retryAllowance())
                 .withRetryAfter(completion.retryAfter(now)));
    }

    Kernel *m_kernel = nullptr;
    const ParentResolver *m_parents = nullptr;
    SharedTable<Paths> m_paths{LockRank::PathCompletion};
};

const auto registration = registerPlugin<PathCompletionPlugin>("pathcompletion", {"pipelines", "parentage"});

} // namespace

} // namespace fescuepond
