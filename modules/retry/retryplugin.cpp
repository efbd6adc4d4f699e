// Entry stage that retries a call if its attempt failed and the retry policy, allowance and budget permit it.

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "servers/retry/retrybudget.h"
#include "servers/retry/retrypolicy.h"

#include <map>
#include <memory>

namespace fescuepond
{

namespace
{

/// A call from its first attempt until it completes. Only one worker at a time uses it.
struct RetriedCall {
    CallRequest m_call;
    Next m_next;
    Done m_done;
    RetryAllowance m_allowance;
    TimePoint m_sentAt{};
    Incarnation m_failedTarget; ///< Of the latest failed attempt.
};

class RetryPlugin final : public Plugin, public CallStage
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_membership = &kernel.require<Membership>();
        const NodeSettings &settings = kernel.settings();
        m_rules = RetryRules()
                      .withRatio(settings.retryRatio())
                      .withSlack(settings.retrySlack())
                      .withWindow(std::chrono::duration_cast<Duration>(settings.retryWindow()));
        kernel.require<EntryPipeline>().add(EntryStage::Retry, *this);
        return {};
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        const TimePoint now = m_kernel->clock().now();
        m_budgets.locked([&](Budgets &budgets) {
            RetryBudget &budget = budgets[call.service()];
            budget = budget.afterCall(m_rules, now);
        });
        const RetryAllowance allowance(call.context().retryAllowance());
        sendAttempt(std::make_shared<RetriedCall>(RetriedCall{call, next, std::move(done), allowance}));
    }

private:
    using Budgets = std::map<std::string, RetryBudget>;

    void sendAttempt(const std::shared_ptr<RetriedCall> &retried)
    {
        retried->m_allowance = retried->m_allowance.afterSending();
        retried->m_sentAt = m_kernel->clock().now();
        const CallContext context = retried->m_call.context()
                                        .withRetryAllowance(retried->m_allowance.delegated())
                                        .withFailedTarget(retried->m_failedTarget);
        m_kernel->metrics().count("fescuepond_attempts_total", {{"service", retried->m_call.service()}});
        retried->m_next(retried->m_call.withContext(context), [this, retried](const CallOutcome &outcome) {
            attemptCompleted(retried, outcome);
        });
    }

    void attemptCompleted(const std::shared_ptr<RetriedCall> &retried, const CallOutcome &outcome)
    {
        // An attempt that wasn't run made no calls either, so all that was delegated to it is unused.
        const bool isNotRun = outcome.state() == CallState::NotRun;
        const int unused = isNotRun ? retried->m_allowance.delegated() : outcome.unusedAllowance();
        retried->m_allowance = retried->m_allowance.afterCompletion(unused);
        if (outcome.reason() == Reason::BackendLost) {
            const CallContext context = retried->m_call.context();
            retried->m_call = retried->m_call.withContext(context.withCrashCount(context.crashCount() + 1));
        }
        const RetryVerdict verdict = decide(*retried, outcome);
        if (verdict == RetryVerdict::Retry) {
            retried->m_failedTarget = outcome.target();
            sendAttempt(retried);
            return;
        }
        if (verdict != RetryVerdict::Success) {
            m_kernel->metrics().count("fescuepond_not_retried_total", {{"reason", toString(verdict)}});
        }
        retried->m_done(outcome.withUnusedAllowance(retried->m_allowance.left()));
    }

    RetryVerdict decide(const RetriedCall &retried, const CallOutcome &outcome)
    {
        if (isSuccess(outcome)) {
            return RetryVerdict::Success;
        }
        const TimePoint now = m_kernel->clock().now();
        const CallContext &context = retried.m_call.context();
        const auto attempt = FailedAttempt()
                                 .withOutcome(outcome)
                                 .withIdempotent(context.idempotent())
                                 .withAllowance(retried.m_allowance)
                                 .withElapsed(now - retried.m_sentAt)
                                 .withRemaining(context.deadline() - now)
                                 .withCrashCount(context.crashCount());
        const RetryRules rules = m_rules.withNodes(m_membership->size());
        return m_budgets.locked([&](Budgets &budgets) {
            RetryBudget &budget = budgets[retried.m_call.service()];
            const RetryVerdict verdict = decideRetry(attempt, budget.permitsRetry(rules, now));
            if (verdict == RetryVerdict::Retry) {
                budget = budget.afterRetry(rules, now);
            }
            return verdict;
        });
    }

    Kernel *m_kernel = nullptr;
    Membership *m_membership = nullptr;
    RetryRules m_rules; ///< Set in start(), without the number of nodes.
    SharedTable<Budgets> m_budgets{LockRank::Retries}; ///< By service; services are few and declared.
};

const auto registration = registerPlugin<RetryPlugin>("retry", {"pipelines", "membership"});

} // namespace

} // namespace fescuepond
