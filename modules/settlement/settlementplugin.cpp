// Target stage that records each attempt, and reports the outcome of an attempt to a sender that lost its connection.
//
// An attempt that has not arrived when its sender asks for the outcome is fenced: it is rejected if it arrives later.
// servers/settlement makes the decisions.

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "servers/settlement/attempttable.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fescuepond
{

namespace
{

class SettlementPlugin final : public Plugin, public CallStage, public AttemptSettlement
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        limitOutcomes();
        kernel.require<TargetPipeline>().add(TargetStage::Fence, *this);
        kernel.provide<AttemptSettlement>(*this);
        kernel.metrics().gauge("fescuepond_attempts_known", {}, [this] {
            return static_cast<double>(m_attempts.locked([](const Attempts &attempts) {
                return attempts.m_table.size();
            }));
        });
        return {};
    }

    std::size_t workInFlight() const override
    {
        return m_attempts.locked([](const Attempts &attempts) {
            return attempts.m_unfinished;
        });
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        const AttemptId id = call.context().attemptId();
        const ArrivalDecision decision = receive(id, call.context().deadline(), done);
        switch (decision.action()) {
        case ArrivalAction::Run:
            next(call, [this, id, done = std::move(done)](const CallOutcome &outcome) {
                finish(id, outcome);
                done(outcome);
            });
            return;
        case ArrivalAction::Join:
            return;
        case ArrivalAction::Answer:
        case ArrivalAction::Reject:
            m_kernel->metrics().count("fescuepond_attempts_not_run_total", {});
            done(decision.outcome().withUnusedAllowance(call.context().retryAllowance()));
            return;
        }
    }

    void settle(const AttemptId &id, TimePoint deadline, Duration wait, Settled settled) override
    {
        const TimePoint now = m_kernel->clock().now();
        const AttemptReport report = m_attempts.locked([&](Attempts &attempts) {
            AttemptReport known = attempts.m_table.settle(id, deadline, now);
            if (known.status() == AttemptStatus::Running && wait > Duration::zero()) {
                addWaiter(attempts, id, now + wait, settled);
            }
            return known;
        });
        m_kernel->metrics().count("fescuepond_settlements_total", {{"status", toString(report.status())}});
        const bool isWaiting = report.status() == AttemptStatus::Running && wait > Duration::zero();
        if (!isWaiting) {
            settled(report);
        }
    }

    void cancel(const AttemptId &id, TimePoint deadline) override
    {
        const TimePoint now = m_kernel->clock().now();
        const AttemptReport report = m_attempts.locked([&](Attempts &attempts) {
            return attempts.m_table.cancel(id, deadline, now);
        });
        m_kernel->metrics().count("fescuepond_cancellations_total", {{"status", toString(report.status())}});
        if (report.status() == AttemptStatus::Running && m_abort) {
            m_abort(id);
        }
    }

    void setAbortHandler(std::function<void(const AttemptId &id)> handler) override
    {
        m_abort = std::move(handler);
    }

    bool canStart(const AttemptId &id) override
    {
        return m_attempts.locked([&](Attempts &attempts) {
            return attempts.m_table.start(id);
        });
    }

    bool isCancelled(const AttemptId &id) const override
    {
        return m_attempts.locked([&](const Attempts &attempts) {
            const AttemptRecord *known = attempts.m_table.find(id);
            return known != nullptr && known->isCancelled();
        });
    }

private:
    /// Bodies of finished attempts that nobody asks for leave most of the memory for bodies to those in transit.
    void limitOutcomes()
    {
        constexpr std::size_t MemoryDivisor = 64;
        const AttemptLimits standard = AttemptLimits::standard();
        const std::size_t bytes = std::min(standard.maxOutcomeBytes(), memoryPart(m_kernel->settings(), MemoryDivisor));
        m_attempts.locked([&](Attempts &attempts) {
            attempts.m_table = AttemptTable(standard.withMaxOutcomeBytes(bytes));
        });
    }

    /// A continuation that waits for the outcome of an unfinished attempt.
    struct Waiter {
        std::uint64_t m_number;
        Settled m_settled;
        TimerService::SubscriptionId m_timeout; ///< 0: waits without a time limit.
    };
    using Waiters = std::vector<Waiter>;

    struct Attempts {
        AttemptTable m_table;
        std::unordered_map<AttemptId, Waiters> m_waiters; ///< Only of attempts in the phases Waiting and Running.
        std::uint64_t m_nextNumber = 1;
        std::size_t m_unfinished = 0; ///< Attempts with the decision Run that have not finished.
    };

    /// Decides on an arriving attempt; adds a waiter if a copy of it is already waiting or running.
    ArrivalDecision receive(const AttemptId &id, TimePoint deadline, const Done &done)
    {
        return m_attempts.locked([&](Attempts &attempts) {
            ArrivalDecision decision = attempts.m_table.receive(id, deadline, m_kernel->clock().now());
            if (decision.action() == ArrivalAction::Run) {
                ++attempts.m_unfinished;
            }
            if (decision.action() == ArrivalAction::Join) {
                attempts.m_waiters[id].push_back({attempts.m_nextNumber++,
                                                  [done](const AttemptReport &report) {
                                                      done(report.outcome());
                                                  },
                                                  0});
            }
            return decision;
        });
    }

    void addWaiter(Attempts &attempts, const AttemptId &id, TimePoint until, const Settled &settled)
    {
        const std::uint64_t number = attempts.m_nextNumber++;
        const auto timeout = m_kernel->timers().once(until, [this, id, number] {
            timeOutWaiter(id, number);
        });
        attempts.m_waiters[id].push_back({number, settled, timeout});
    }

    void timeOutWaiter(const AttemptId &id, std::uint64_t number)
    {
        const Settled settled = m_attempts.locked([&](Attempts &attempts) -> Settled {
            const auto found = attempts.m_waiters.find(id);
            if (found == attempts.m_waiters.end()) {
                return nullptr;
            }
            for (auto waiter = found->second.begin(); waiter != found->second.end(); ++waiter) {
                if (waiter->m_number == number) {
                    Settled waiting = std::move(waiter->m_settled);
                    found->second.erase(waiter);
                    return waiting;
                }
            }
            return nullptr;
        });
        if (settled) {
            settled(AttemptReport().withStatus(AttemptStatus::Running));
        }
    }

    void finish(const AttemptId &id, const CallOutcome &outcome)
    {
        const Waiters waiters = m_attempts.locked([&](Attempts &attempts) {
            --attempts.m_unfinished;
            attempts.m_table.finish(id, outcome, m_kernel->clock().now());
            Waiters waiting;
            const auto found = attempts.m_waiters.find(id);
            if (found != attempts.m_waiters.end()) {
                waiting = std::move(found->second);
                attempts.m_waiters.erase(found);
            }
            return waiting;
        });
        const AttemptReport report = AttemptReport().withStatus(AttemptStatus::Finished).withOutcome(outcome);
        for (const Waiter &waiter : waiters) {
            m_kernel->timers().cancel(waiter.m_timeout);
            m_kernel->pool().post(Lane::Decision, [settled = waiter.m_settled, report] {
                settled(report);
            });
        }
    }

    Kernel *m_kernel = nullptr;
    std::function<void(const AttemptId &id)> m_abort; ///< Set only while plug-ins start; may be empty.
    SharedTable<Attempts> m_attempts{LockRank::Attempts};
};

const auto registration = registerPlugin<SettlementPlugin>("settlement", {"pipelines"});

} // namespace

} // namespace fescuepond
