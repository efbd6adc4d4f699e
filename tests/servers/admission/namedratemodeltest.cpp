// A model of nodes that call the targets of one service in virtual time. The targets name limits that change, most
// calls come from few of the nodes, and the targets' nodes restart. Guards against a target that gets more calls than
// the limit that it has named allows, and against targets without a limit that stay idle meanwhile.

#include "servers/admission/admissioncontroller.h"
#include "servers/registration/backendtracker.h"
#include "servers/routing/router.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <random>
#include <vector>

namespace fescuepond
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr auto RunTime = seconds(40);
constexpr auto ServiceTime = milliseconds(160);
constexpr auto NetworkDelay = milliseconds(1);
constexpr auto CallDeadline = seconds(3);
/// The rule: from NoticeTime after a limit was named, its target gets at most MaxRatio times as much in any Window, and
/// MaxExtraCalls.
constexpr auto NoticeTime = seconds(3);
constexpr auto Window = seconds(4);
constexpr double MaxRatio = 1.5;
constexpr double MaxExtraCalls = 5;
constexpr std::size_t TargetCount = 4;
constexpr std::size_t NodeCount = 13;
constexpr double Slots = 49;

struct Call {
    std::size_t node = 0;
    std::size_t target = 0;
    Incarnation incarnation; ///< Of the target's node.
    BackendNotice knownNotice;
};

/// A target with its own node, which alone sends it calls.
struct Target {
    Member member;
    BackendTracker tracker;
    std::unique_ptr<AdmissionController> controller;
    std::map<EntryId, Call> calls;
    double namedRate = 0;
    TimePoint namedSince{};
    std::vector<std::pair<TimePoint, double>> arrivals; ///< With the rate that was named at the time.
    TimePoint nextTimer = TimePoint::max();
    int life = 0;
};

class Model
{
public:
    explicit Model(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < TargetCount; ++i) {
            m_targets[i].member =
                Member().withName("t" + std::to_string(i)).withZone("a").withState(MemberState::Alive);
            restart(m_targets[i]);
        }
        // Node n sends about half as many calls as node n - 1.
        for (std::size_t i = 0; i < NodeCount; ++i) {
            m_weights[i] = 1.0 / static_cast<double>(1UL << std::min<std::size_t>(i, 5));
        }
    }

    void at(TimePoint time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }

    void nameRate(std::size_t target, double rate)
    {
        m_targets[target].namedRate = rate;
        m_targets[target].namedSince = m_now;
    }

    /// The process of the target's node starts again. It knows nothing of before, and the calls in it are lost.
    void restartNode(std::size_t target)
    {
        restart(m_targets[target]);
    }

    void run(double callsPerSecond)
    {
        sendNext(callsPerSecond);
        while (!m_events.empty() && m_events.begin()->first < Start + RunTime) {
            auto event = m_events.extract(m_events.begin());
            m_now = event.key();
            event.mapped()();
        }
    }

    /// The largest number of calls, beyond what was allowed, that a target got in a window. At most 0 if the rule
    /// holds.
    double worstExcess() const
    {
        double worst = -1;
        for (const Target &target : m_targets) {
            for (auto first = target.arrivals.begin(); first != target.arrivals.end(); ++first) {
                double allowed = 0;
                double count = 0;
                for (auto arrival = first; arrival != target.arrivals.end(); ++arrival) {
                    if (arrival->first > first->first + Window || arrival->second == 0) {
                        break;
                    }
                    ++count;
                    allowed = std::max(allowed, arrival->second);
                }
                const double seconds = std::chrono::duration<double>(Window).count();
                worst = std::max(worst, count - MaxRatio * allowed * seconds - MaxExtraCalls);
            }
        }
        return worst;
    }
    double answeredShare() const
    {
        return static_cast<double>(m_answered) / static_cast<double>(std::max<std::size_t>(m_sent, 1));
    }

private:
    void restart(Target &target)
    {
        target.member = target.member.withIncarnation(Incarnation(1, ++m_lives));
        ++target.life;
        target.tracker = BackendTracker().withTimeouts(BackendTimeouts::from(seconds(2), milliseconds(1500)));
        const auto report =
            BackendReport().withInstance("i-1").withSequence(1).withState(BackendState::Ready).withSlots(Slots);
        target.tracker = afterReport(target.tracker, report, "", m_now).tracker;
        target.controller =
            std::make_unique<AdmissionController>(std::make_unique<FixedLimit>(Slots), AdmissionRules());
        for (const auto &[id, call] : target.calls) {
            complete(call, CallOutcome::unknown(Reason::ConnectionLost, ""));
        }
        target.calls.clear();
        target.nextTimer = TimePoint::max();
    }

    void sendNext(double callsPerSecond)
    {
        const std::chrono::duration<double> pause =
            std::exponential_distribution<double>(callsPerSecond)(m_random) * std::chrono::duration<double>(1);
        at(m_now + std::chrono::duration_cast<Duration>(pause), [this, callsPerSecond] {
            send(std::discrete_distribution<std::size_t>(m_weights.begin(), m_weights.end())(m_random));
            sendNext(callsPerSecond);
        });
    }

    void send(std::size_t node)
    {
        ++m_sent;
        RouteCandidates candidates;
        for (const Target &target : m_targets) {
            candidates.push_back(
                RouteCandidate().withTarget(target.member).withLoad(m_loads[node][target.member.incarnation()]));
        }
        const Member chosen = chooseTarget(candidates, RouteOrigin().withZone("a"), m_now, m_random())->target();
        const auto index = static_cast<std::size_t>(chosen.name().at(1) - '0');
        TargetLoad &load = m_loads[node][chosen.incarnation()];
        load = afterSend(load, m_now);
        at(m_now + NetworkDelay,
           [this,
            call = Call{node, index, chosen.incarnation(), m_notices[node][index]},
            life = m_targets[index].life] {
               receive(call, life);
           });
    }

    void receive(const Call &call, int life)
    {
        Target &target = m_targets[call.target];
        if (target.life != life) {
            complete(call, CallOutcome::notRun(Reason::ConnectionLost, ""));
            return;
        }
        target.tracker = afterReceivedNotice(target.tracker, call.knownNotice, m_now);
        target.controller->setRate(target.tracker.notice().rate());
        const EntryId id = ++m_lastId;
        target.calls.emplace(id, call);
        const auto entry = AdmissionEntry()
                               .withOrder(ShedOrder().withRootHash(m_random()).withEntryId(id))
                               .withKind("read")
                               .withRootKind("katalog/read")
                               .withDeadline(m_now + CallDeadline);
        apply(target, target.controller->submit(entry, m_now));
    }

    void apply(Target &target, const AdmissionDecisions &decisions)
    {
        for (const AdmissionDecision &decision : decisions) {
            if (decision.isAdmitted()) {
                start(target, decision.id());
                continue;
            }
            const auto found = target.calls.find(decision.id());
            reply(target, found->second, CallOutcome::notRun(decision.rejection(), ""));
            target.calls.erase(found);
        }
        const auto due = target.controller->nextExpiry();
        if (due && *due < target.nextTimer) {
            target.nextTimer = *due;
            at(std::max(*due, m_now), [this, &target, life = target.life] {
                if (target.life == life) {
                    target.nextTimer = TimePoint::max();
                    apply(target, target.controller->expire(m_now));
                }
            });
        }
    }

    void start(Target &target, EntryId id)
    {
        const bool isBound = target.namedRate > 0 && m_now > target.namedSince + NoticeTime;
        target.arrivals.emplace_back(m_now, isBound ? target.namedRate : 0);
        at(m_now + ServiceTime, [this, &target, id, sentAt = m_now, life = target.life] {
            if (target.life != life) {
                return;
            }
            const auto notice = BackendNotice().withRate(target.namedRate);
            target.tracker = afterAnswer(target.tracker, "i-1", notice, sentAt, m_now);
            target.controller->setRate(target.tracker.notice().rate());
            const Call call = target.calls.at(id);
            target.calls.erase(id);
            apply(target, target.controller->finished(id, RunSample().withServiceTime(m_now - sentAt), m_now));
            ++m_answered;
            reply(target, call, CallOutcome().withState(CallState::Answered).withStatus(200));
        });
    }

    void reply(const Target &target, const Call &call, const CallOutcome &outcome)
    {
        const auto inFlight = static_cast<int>(target.controller->running() + target.controller->queued());
        const CallOutcome reported = outcome.withTargetLimit(target.controller->limit())
                                         .withTargetInFlight(inFlight)
                                         .withNotice(target.tracker.notice());
        at(m_now + NetworkDelay, [this, call, reported] {
            TargetLoad &load = m_loads[call.node][call.incarnation];
            load = afterOutcome(load, reported, m_now);
            m_notices[call.node][call.target] = reported.notice();
        });
    }

    /// The call ends without an answer of its target's node.
    void complete(const Call &call, const CallOutcome &outcome)
    {
        TargetLoad &load = m_loads[call.node][call.incarnation];
        load = afterOutcome(load, outcome, m_now);
    }

    std::mt19937_64 m_random;
    TimePoint m_now = Start;
    std::multimap<TimePoint, std::function<void()>> m_events;
    std::array<Target, TargetCount> m_targets;
    std::array<double, NodeCount> m_weights{};
    std::array<std::map<Incarnation, TargetLoad>, NodeCount> m_loads;
    std::array<std::array<BackendNotice, TargetCount>, NodeCount> m_notices;
    std::uint64_t m_lives = 0;
    EntryId m_lastId = 0;
    std::size_t m_sent = 0;
    std::size_t m_answered = 0;
};

} // namespace

RC_GTEST_PROP(NamedRateModel, NoTargetGetsMoreThanItsLimitAllowsThoughLimitsChangeAndNodesRestart, ())
{
    Model model(*rc::gen::arbitrary<std::uint64_t>());
    for (int i = 0; i < 6; ++i) {
        const auto target = *rc::gen::inRange<std::size_t>(0, TargetCount);
        const double rate = *rc::gen::inRange(1, 400) / 10.0;
        const TimePoint from = Start + milliseconds(*rc::gen::inRange(1000, 25'000));
        model.at(from, [&model, target, rate] {
            model.nameRate(target, rate);
        });
        model.at(from + milliseconds(*rc::gen::inRange(3500, 20'000)), [&model, target] {
            model.nameRate(target, 0);
        });
        const auto restarted = *rc::gen::inRange<std::size_t>(0, TargetCount);
        model.at(Start + milliseconds(*rc::gen::inRange(1000, 35'000)), [&model, restarted] {
            model.restartNode(restarted);
        });
    }
    model.run(*rc::gen::inRange(50, 400));
    RC_ASSERT(model.worstExcess() <= 0);
}

TEST(NamedRateModel, TargetsWithoutALimitTakeTheCallsThatTheOthersDoNot)
{
    Model model(1);
    for (std::size_t target = 0; target < 3; ++target) {
        model.at(Start + seconds(2), [&model, target] {
            model.nameRate(target, 10);
        });
    }
    model.run(100);
    EXPECT_LE(model.worstExcess(), 0);
    EXPECT_GE(model.answeredShare(), 0.97);
}

} // namespace fescuepond
