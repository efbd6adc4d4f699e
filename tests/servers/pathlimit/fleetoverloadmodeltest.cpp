// A model, in virtual time, of many entry nodes whose requests need several calls in turn to one overloaded service.
// Guards against a fleet in which the requests that are admitted fail one after the other at the bottleneck, because
// each of hundreds of entry nodes sees too few answers to limit what it admits.

#include "servers/admission/admissioncontroller.h"
#include "servers/pathlimit/pathlimiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr auto RunTime = seconds(14);
/// What is served is counted from here on, when the fleet has had time to adapt.
constexpr auto CountFrom = seconds(4);
constexpr std::size_t TargetCount = 3;
constexpr double SlotsPerTarget = 29;
constexpr auto ServiceTime = milliseconds(70);
constexpr auto CallTimeLimit = milliseconds(700);
constexpr auto RequestTimeLimit = seconds(5);
constexpr auto NetworkDelay = milliseconds(2);
constexpr int CallsPerRequest = 4; ///< Made in turn; a request fails with the first call that is rejected.
/// Requests a second that the bottleneck can serve whole.
constexpr double Capacity =
    TargetCount * SlotsPerTarget / (std::chrono::duration<double>(ServiceTime).count() * CallsPerRequest);

/// The least share of the bottleneck's capacity that whole requests must get.
constexpr double MinServedShare = 2.0 / 3;

struct Request {
    std::size_t entryNode = 0;
    EntryId id = 0;
    AdmissionEntry entry;
    TimePoint startedAt{};
    double headroom = MaxHeadroom; ///< The lowest that its answers have reported.
    int answered = 0;
};

class Model
{
public:
    Model(std::size_t entryNodes, PathRules rules)
        : m_random(20261205)
        , m_entryNodes(entryNodes, PathLimiter(rules))
    {
        for (std::size_t i = 0; i < TargetCount; ++i) {
            m_targets.push_back(
                {std::make_unique<AdmissionController>(std::make_unique<FixedLimit>(SlotsPerTarget), AdmissionRules()),
                 {}});
        }
    }

    /// The fraction of the bottleneck's capacity that whole requests got.
    double servedShare(double requestsPerSecond)
    {
        arrive(requestsPerSecond);
        while (!m_events.empty() && m_events.begin()->first < Start + RunTime) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
        return m_served / (Capacity * std::chrono::duration<double>(RunTime - CountFrom).count());
    }

private:
    struct Target {
        std::unique_ptr<AdmissionController> controller;
        std::map<EntryId, Request> calls;
    };

    void after(Duration delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }

    Duration exponential(double perSecond)
    {
        const std::chrono::duration<double> time(std::exponential_distribution<double>(perSecond)(m_random));
        return std::chrono::duration_cast<Duration>(time);
    }

    void arrive(double perSecond)
    {
        Request request;
        request.entryNode = m_random() % m_entryNodes.size();
        request.id = ++m_lastId;
        request.startedAt = m_now;
        request.entry = AdmissionEntry()
                            .withOrder(ShedOrder().withRank(1).withRootHash(m_random()).withEntryId(request.id))
                            .withKind("count")
                            .withRootKind("quarry/reserve")
                            .withDeadline(m_now + RequestTimeLimit);
        m_waiting.emplace(request.id, request);
        decideAtEntry(m_entryNodes[request.entryNode].submit(m_path, request.entry, ShareLimit::Applies, m_now));
        after(exponential(perSecond), [this, perSecond] {
            arrive(perSecond);
        });
    }

    void decideAtEntry(const AdmissionDecisions &decisions)
    {
        for (const AdmissionDecision &decision : decisions) {
            const Request request = m_waiting.extract(decision.id()).mapped();
            if (decision.isAdmitted()) {
                after(NetworkDelay, [this, request] {
                    call(request);
                });
            }
        }
    }

    void call(Request request)
    {
        const std::size_t at = m_random() % TargetCount;
        const EntryId id = ++m_lastId;
        const TimePoint deadline = std::min(request.entry.deadline(), m_now + CallTimeLimit);
        // A call doesn't name the request that it is made for, so each has a hash of its own.
        const ShedOrder order = request.entry.order().withRootHash(m_random()).withEntryId(id);
        const AdmissionEntry entry = request.entry.withOrder(order).withDeadline(deadline);
        m_targets[at].calls.emplace(id, std::move(request));
        decideAtTarget(at, m_targets[at].controller->submit(entry, m_now));
        scheduleExpiry(at);
    }

    void scheduleExpiry(std::size_t at)
    {
        if (const auto due = m_targets[at].controller->nextExpiry()) {
            after(std::max(Duration::zero(), *due - m_now), [this, at] {
                decideAtTarget(at, m_targets[at].controller->expire(m_now));
            });
        }
    }

    void decideAtTarget(std::size_t at, const AdmissionDecisions &decisions)
    {
        Target &target = m_targets[at];
        for (const AdmissionDecision &decision : decisions) {
            if (decision.isAdmitted()) {
                after(exponential(1 / std::chrono::duration<double>(ServiceTime).count()),
                      [this, at, id = decision.id()] {
                          finishCall(at, id);
                      });
                continue;
            }
            Request request = target.calls.extract(decision.id()).mapped();
            request.headroom = std::min(request.headroom, target.controller->headroom(request.entry));
            after(NetworkDelay, [this, request] {
                finishRequest(request, false);
            });
        }
    }

    void finishCall(std::size_t at, EntryId id)
    {
        Target &target = m_targets[at];
        Request request = target.calls.extract(id).mapped();
        request.headroom = std::min(request.headroom, target.controller->headroom(request.entry));
        decideAtTarget(at, target.controller->finished(id, RunSample().withServiceTime(ServiceTime), m_now));
        ++request.answered;
        after(2 * NetworkDelay, [this, request] {
            if (request.answered == CallsPerRequest) {
                finishRequest(request, true);
            } else {
                call(request);
            }
        });
    }

    void finishRequest(const Request &request, bool isWhole)
    {
        const bool isCounted = isWhole && m_now >= Start + CountFrom;
        m_served += isCounted ? 1 : 0;
        const auto serviceTime = isWhole ? std::optional<Duration>(m_now - request.startedAt) : std::nullopt;
        decideAtEntry(
            m_entryNodes[request.entryNode].finished(m_path, request.id, request.headroom, serviceTime, m_now));
    }

    const PathKey m_path = PathKey().withService("quarry").withKind("reserve");
    std::mt19937_64 m_random;
    std::multimap<TimePoint, std::function<void()>> m_events;
    TimePoint m_now = Start;
    EntryId m_lastId = 0;
    std::vector<PathLimiter> m_entryNodes;
    std::vector<Target> m_targets;
    std::map<EntryId, Request> m_waiting; ///< Not yet decided at their entry node.
    double m_served = 0;
};

double servedShare(std::size_t entryNodes, double demand, bool limitShare)
{
    PathRules rules;
    rules.limitShare = limitShare;
    const double share = Model(entryNodes, rules).servedShare(demand * Capacity);
    std::cout << entryNodes << " entry nodes, " << demand << " times the capacity, "
              << (limitShare ? "with" : "without") << " a share: " << share << " of the capacity served whole\n";
    return share;
}

} // namespace

TEST(FleetOverloadModel, BottleneckServesWholeRequestsWhateverTheNumberOfEntryNodes)
{
    for (const std::size_t entryNodes : {13UL, 80UL, 195UL, 1300UL}) {
        for (const double demand : {1.5, 3.0}) {
            const double without = servedShare(entryNodes, demand, false);
            const double with = servedShare(entryNodes, demand, true);
            EXPECT_GE(with, MinServedShare) << entryNodes << " entry nodes, demand " << demand;
            EXPECT_GE(with, without - 0.05) << entryNodes << " entry nodes, demand " << demand;
        }
    }
}

} // namespace fescuepond
