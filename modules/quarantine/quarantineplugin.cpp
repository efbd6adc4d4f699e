// Target stage that prevents a request which crashes backend servers from crashing one after another.
//
// Changed suspicions are pushed at once to the other targets of this node's service, since a retry of the request can
// only be sent to these.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "modules/quarantine/suspicionencoding.h"
#include "servers/quarantine/suspectgate.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace fescuepond
{

namespace
{

/// Maximum time for which a call's outcome is delayed until the other targets have acknowledged the suspicions.
constexpr Duration PushTimeout = std::chrono::milliseconds(500);

/// A call that is waiting at the gate.
struct WaitingCall {
    CallRequest m_call;
    Next m_next;
    Done m_done;
    TimerService::SubscriptionId m_deadline = 0; ///< The timer that ends the wait at the call's deadline.
};

class QuarantinePlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_membership = &kernel.require<Membership>();
        m_peers = &kernel.require<PeerMessages>();
        m_peers->setHandler(PeerTopic::Quarantine, [this](const std::string &request, const PeerReply &reply) {
            handleUpdate(request);
            reply(std::string());
        });
        kernel.require<TargetPipeline>().add(TargetStage::Quarantine, *this);
        kernel.metrics().gauge("fescuepond_quarantined_fingerprints", {}, [this] {
            return static_cast<double>(m_table.locked([](const Table &table) {
                return table.m_gate.quarantinedCount();
            }));
        });
        return {};
    }

    std::size_t workInFlight() const override
    {
        return m_table.locked([](const Table &table) {
            return table.m_waiting.size();
        });
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        const auto gateCall = GateCall()
                                  .withAttempt(call.context().attemptId())
                                  .withFingerprint(fingerprintOf(call))
                                  .withPriorLosses(call.context().crashCount());
        const GateDecision decision = m_table.locked([&](Table &table) {
            const GateDecision decided = table.m_gate.admit(gateCall, m_kernel->clock().now());
            if (decided == GateDecision::Wait) {
                table.m_waiting.emplace(gateCall.attempt(), WaitingCall{call, next, done, subscribe(call.context())});
            }
            return decided;
        });
        if (decision == GateDecision::Run) {
            run(call, next, std::move(done));
        } else if (decision == GateDecision::Reject) {
            reject(call, done);
        }
    }

private:
    using Continuation = std::function<void()>;
    struct Table {
        SuspectGate m_gate;
        std::map<AttemptId, WaitingCall> m_waiting; ///< The calls that are waiting in m_gate.
    };

    TimerService::SubscriptionId subscribe(const CallContext &context)
    {
        return m_kernel->timers().once(context.deadline(), [this, attempt = context.attemptId()] {
            deadlinePassed(attempt);
        });
    }

    void deadlinePassed(const AttemptId &attempt)
    {
        const auto waiting = m_table.locked([&](Table &table) -> std::optional<WaitingCall> {
            if (!table.m_gate.cancelWaiting(attempt)) {
                return std::nullopt;
            }
            return extractWaiting(table, attempt);
        });
        if (waiting) {
            waiting->m_done(CallOutcome::notRun(Reason::DeadlineExceeded, "the deadline passed while the call waited"));
        }
    }

    static WaitingCall extractWaiting(Table &table, const AttemptId &attempt)
    {
        const auto found = table.m_waiting.find(attempt);
        WaitingCall waiting = std::move(found->second);
        table.m_waiting.erase(found);
        return waiting;
    }

    void run(const CallRequest &call, const Next &next, Done done)
    {
        next(call, [this, call, done = std::move(done)](const CallOutcome &outcome) {
            finishCall(call, outcome, [done, outcome] {
                done(outcome);
            });
        });
    }

    void reject(const CallRequest &call, const Done &done)
    {
        m_kernel->metrics().count("fescuepond_quarantine_refusals_total", {{"kind", call.context().kind()}});
        done(CallOutcome::notRun(Reason::Quarantined, "two backend servers were lost while they ran this request"));
    }

    /// Calls `finish` once every other target has acknowledged the changed suspicion records or has timed out, so that
    /// a retry normally doesn't reach a target that lacks them.
    void finishCall(const CallRequest &call, const CallOutcome &outcome, const Continuation &finish)
    {
        const CrashEvidence evidence = crashEvidenceOf(outcome);
        std::vector<WaitingCall> toRun;
        std::vector<WaitingCall> toReject;
        const Suspicions changed = m_table.locked([&](Table &table) {
            const GateUpdate update =
                table.m_gate.finish(call.context().attemptId(), evidence, m_kernel->clock().now());
            extractReleased(table, update.released, toRun, toReject);
            return update.changed;
        });
        release(toRun, toReject);
        if (changed.empty()) {
            finish();
            return;
        }
        if (evidence == CrashEvidence::BackendLost) {
            Event("backend_lost").with("suspects", changed.size());
            m_kernel->metrics().count("fescuepond_backend_losses_total");
        }
        push(changed, finish);
    }

    static void extractReleased(Table &table,
                                const std::vector<GateRelease> &released,
                                std::vector<WaitingCall> &toRun,
                                std::vector<WaitingCall> &toReject)
    {
        for (const GateRelease &one : released) {
            auto &group = one.decision() == GateDecision::Run ? toRun : toReject;
            group.push_back(extractWaiting(table, one.attempt()));
        }
    }

    void release(const std::vector<WaitingCall> &toRun, const std::vector<WaitingCall> &toReject)
    {
        for (const WaitingCall &waiting : toRun) {
            m_kernel->timers().cancel(waiting.m_deadline);
            run(waiting.m_call, waiting.m_next, waiting.m_done);
        }
        for (const WaitingCall &waiting : toReject) {
            m_kernel->timers().cancel(waiting.m_deadline);
            reject(waiting.m_call, waiting.m_done);
        }
    }

    void push(const Suspicions &changed, const Continuation &finish)
    {
        const std::string message = encodeSuspicions(changed);
        const Member self = m_membership->self();
        const auto targets = m_membership->targetsOf(self.service());
        // Starts at one, for this function, so that `finish` isn't called before all messages have been sent.
        const auto outstanding = std::make_shared<std::atomic<std::size_t>>(1);
        const auto acknowledged = [outstanding, finish] {
            if (--*outstanding == 0) {
                finish();
            }
        };
        for (const Member &member : *targets) {
            if (member.name() == self.name()) {
                continue;
            }
            ++*outstanding;
            m_peers->ask(member.peerAddress(),
                         PeerTopic::Quarantine,
                         message,
                         PushTimeout,
                         [acknowledged, name = member.name()](const auto &reply) {
                             if (!reply) {
                                 Event("quarantine_news_lost").with("target", name);
                             }
                             acknowledged();
                         });
        }
        acknowledged();
    }

    void handleUpdate(const std::string &bytes)
    {
        const auto records = decodeSuspicions(bytes);
        if (!records) {
            Event("quarantine_news_invalid").with("bytes", bytes.size());
            return;
        }
        std::vector<WaitingCall> toRun;
        std::vector<WaitingCall> toReject;
        m_table.locked([&](Table &table) {
            extractReleased(table, table.m_gate.merge(*records, m_kernel->clock().now()), toRun, toReject);
        });
        release(toRun, toReject);
    }

    Kernel *m_kernel = nullptr;
    Membership *m_membership = nullptr;
    PeerMessages *m_peers = nullptr;
    SharedTable<Table> m_table{LockRank::Quarantine};
};

const auto registration = registerPlugin<QuarantinePlugin>("quarantine", {"pipelines", "membership", "peer"});

} // namespace

} // namespace fescuepond
