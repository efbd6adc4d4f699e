// Discrete-event simulation of one scenario under one policy, in virtual time.

#include "benchmarks/experiment/simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace fescuepond::experiment
{

namespace
{

/// Factors of the service times of a service's targets, without downstream calls, in cases with unequal targets.
constexpr std::array<double, 3> UnequalFactors = {0.5, 1.0, 2.0};
/// A fleet has recovered when its goodput over RecoveryWindowSeconds is at least this fraction of its goodput before
/// the trigger.
constexpr double RecoveredFraction = 0.95;
constexpr double RecoveryWindowSeconds = 1;
/// A backend server with downstream calls does half of its own work before them and half after them.
constexpr double HalfOfOwnWork = 0.5;

} // namespace

Simulation::Simulation(const CallGraph &graph, const Scenario &scenario, const Policy &policy, std::uint64_t seed)
    : m_graph(graph)
    , m_scenario(scenario)
    , m_policy(policy)
    , m_random(seed)
    , m_arrivalGeneration(graph.kinds.size(), 0)
{
    buildTargets();
}

const KindModel &Simulation::kindOf(const RootRequest &root) const
{
    return m_graph.kinds[root.m_request->m_kind];
}

std::size_t Simulation::serviceOf(const Call &call) const
{
    return kindOf(*call.m_root).path[call.m_level];
}

std::unique_ptr<AdmissionController> Simulation::makeAdmissionController(std::size_t service) const
{
    const double slots = m_graph.services[service].slots * m_scenario.declaredSlots;
    std::unique_ptr<LimitStrategy> limit;
    if (m_policy.adaptiveLimit) {
        limit = std::make_unique<AdaptiveLimit>(slots);
    } else {
        limit = std::make_unique<FixedLimit>(slots);
    }
    AdmissionRules rules;
    rules.queue = {.keepShares = m_policy.keepShares, .firstInFirstOut = !m_policy.rankOrder};
    rules.rejectUnmeetable = m_policy.rejectUnmeetable;
    return std::make_unique<AdmissionController>(std::move(limit), rules);
}

std::shared_ptr<PathLimiter> Simulation::makePathLimiter() const
{
    PathRules rules;
    rules.queue.firstInFirstOut = !m_policy.rankOrder;
    rules.rejectUnmeetable = m_policy.rejectUnmeetable;
    return std::make_shared<PathLimiter>(rules);
}

void Simulation::buildTargets()
{
    for (std::size_t service = 0; service < m_graph.services.size(); ++service) {
        const ServiceModel &model = m_graph.services[service];
        std::vector<std::unique_ptr<Target>> targets;
        for (int index = 0; index < model.targets; ++index) {
            const double factor =
                m_scenario.unequalTargets ? UnequalFactors[static_cast<std::size_t>(index) % UnequalFactors.size()] : 1;
            auto target = std::make_unique<Target>();
            target->m_admission = makeAdmissionController(service);
            target->m_pathLimiter = makePathLimiter();
            target->m_backend =
                std::make_unique<FakeBackend>(m_events, m_random, model.slots, model.ownSeconds * factor);
            targets.push_back(std::move(target));
        }
        m_targets.push_back(std::move(targets));
    }
}

void Simulation::applyPhase(const Phase &phase)
{
    m_phase = phase;
    for (std::size_t service = 0; service < m_targets.size(); ++service) {
        auto &targets = m_targets[service];
        const double aliveFraction = phase.aliveTargetFraction[service];
        const auto alive = static_cast<std::size_t>(std::lround(aliveFraction * static_cast<double>(targets.size())));
        for (std::size_t index = 0; index < targets.size(); ++index) {
            setAlive(service, *targets[index], index < std::max<std::size_t>(1, alive));
            targets[index]->m_backend->setTimeFactor(phase.serviceTimeFactor[service]);
            if (phase.coldStart[service]) {
                restart(service, *targets[index]);
            }
        }
    }
    for (std::size_t kind = 0; kind < m_graph.kinds.size(); ++kind) {
        scheduleArrival(kind, ++m_arrivalGeneration[kind]);
    }
}

void Simulation::setAlive(std::size_t service, Target &target, bool alive)
{
    if (target.m_isAlive == alive) {
        return;
    }
    target.m_isAlive = alive;
    if (alive) {
        restart(service, target);
    } else {
        failAllCalls(target);
    }
}

/// Replaces the node and the backend server by new ones: limits start from their initial values, and the backend server
/// is cold.
void Simulation::restart(std::size_t service, Target &target)
{
    failAllCalls(target);
    target.m_admission = makeAdmissionController(service);
    target.m_pathLimiter = makePathLimiter();
    target.m_backend->becomeCold();
}

/// Fails all calls at the target: those in flight and those queued there.
void Simulation::failAllCalls(Target &target)
{
    const std::unordered_map<EntryId, CallPointer> calls = std::move(target.m_calls);
    const std::unordered_map<EntryId, CallPointer> queued = std::move(target.m_queuedAtEntry);
    target.m_calls.clear();
    target.m_queuedAtEntry.clear();
    for (const auto &[id, call] : calls) {
        if (call->m_isRunning) {
            finishRun(call, false, true);
        } else {
            finishCall(call, {});
        }
    }
    for (const auto &[id, call] : queued) {
        finishCall(call, {});
    }
}

void Simulation::scheduleArrival(std::size_t kind, std::uint64_t generation)
{
    if (m_phase.demand[kind] <= 0) {
        return;
    }
    const double pause = std::exponential_distribution<>(m_phase.demand[kind])(m_random);
    m_events.scheduleAfter(pause, [this, kind, generation] {
        if (generation != m_arrivalGeneration[kind]) {
            return;
        }
        handleArrival(kind);
        scheduleArrival(kind, generation);
    });
}

void Simulation::handleArrival(std::size_t kind)
{
    const auto request = std::make_shared<CallerRequest>();
    request->m_kind = kind;
    request->m_sentAt = m_events.now();
    request->m_deadline = m_events.now() + EventQueue::toDuration(m_graph.kinds[kind].deadlineSeconds);
    request->m_attemptsLeft = m_phase.callerAttempts;
    if (isInMeasuredTime()) {
        m_result.kinds[kind].offered += 1;
    }
    sendRootRequest(request);
}

void Simulation::sendRootRequest(const std::shared_ptr<CallerRequest> &request)
{
    --request->m_attemptsLeft;
    const KindModel &kind = m_graph.kinds[request->m_kind];
    const auto root = std::make_shared<RootRequest>();
    root->m_request = request;
    root->m_context = CallContext()
                          .withRootId(RootId(m_random(), m_random()))
                          .withKind(kind.name)
                          .withRootKind(kind.name)
                          .withRank(kind.rank)
                          .withKeptShare(kind.keptShare)
                          .withDeadline(request->m_deadline);
    const auto call = std::make_shared<Call>();
    call->m_root = root;
    call->m_onDone = [this, root](const Answer &answer) {
        finishRootRequest(root, answer.m_isOk);
    };
    Target *entryTarget = chooseTarget(kind.path.front());
    if (m_policy.pathLimit) {
        submitToPathLimiter(*entryTarget, call);
    } else {
        route(call);
    }
}

void Simulation::finishRootRequest(const std::shared_ptr<RootRequest> &root, bool isOk)
{
    const std::shared_ptr<CallerRequest> &request = root->m_request;
    const double now = m_events.nowSeconds();
    const double sent = std::chrono::duration<double>(request->m_sentAt - EventQueue::startTime()).count();
    const bool isInTime = isOk && m_events.now() <= request->m_deadline;
    root->m_isFailed = !isInTime;
    if (isInMeasuredTime()) {
        m_result.failedAttempts += isOk ? 0 : 1;
        m_wastedSlotSeconds += isInTime ? 0 : root->m_slotSeconds;
    }
    if (isInTime) {
        const auto slice = static_cast<std::size_t>(now / RunResult::SliceSeconds);
        m_result.completedBySlice[std::min(slice, m_result.completedBySlice.size() - 1)] += 1;
        if (sent >= m_warmUpSeconds && sent < m_endSeconds) {
            m_result.kinds[request->m_kind].goodput += 1;
        }
        return;
    }
    if (request->m_attemptsLeft > 0 && m_events.now() < request->m_deadline) {
        m_events.scheduleAfter(2 * m_graph.hopSeconds, [this, request] {
            sendRootRequest(request);
        });
    }
}

PathKey Simulation::pathOf(const RootRequest &root) const
{
    const KindModel &kind = kindOf(root);
    return PathKey().withService(m_graph.services[kind.path.front()].name).withKind(kind.name);
}

void Simulation::submitToPathLimiter(Target &entryTarget, const CallPointer &call)
{
    const EntryId id = m_nextEntryId++;
    entryTarget.m_queuedAtEntry.emplace(id, call);
    const AdmissionEntry entry = makeEntry(id, call->m_root->m_context);
    applyPathDecisions(
        entryTarget,
        entryTarget.m_pathLimiter->submit(pathOf(*call->m_root), entry, ShareLimit::Applies, m_events.now()));
}

void Simulation::applyPathDecisions(Target &entryTarget, const AdmissionDecisions &decisions)
{
    for (const AdmissionDecision &decision : decisions) {
        const auto found = entryTarget.m_queuedAtEntry.find(decision.id());
        if (found == entryTarget.m_queuedAtEntry.end()) {
            continue;
        }
        const CallPointer call = found->second;
        entryTarget.m_queuedAtEntry.erase(found);
        if (decision.isAdmitted()) {
            admitAtEntry(entryTarget, call, decision.id());
        } else {
            finishCall(call, {});
        }
    }
    schedulePathExpiry(entryTarget);
}

void Simulation::admitAtEntry(Target &entryTarget, const CallPointer &call, EntryId id)
{
    const TimePoint begin = m_events.now();
    const CallCallback done = call->m_onDone;
    call->m_onDone = [this, &entryTarget, limiter = entryTarget.m_pathLimiter, root = call->m_root, id, begin, done](
                         const Answer &answer) {
        const auto serviceTime = answer.m_isOk ? std::optional(m_events.now() - begin) : std::nullopt;
        applyPathDecisions(entryTarget,
                           limiter->finished(pathOf(*root), id, answer.m_headroom, serviceTime, m_events.now()));
        done(answer);
    };
    route(call);
}

void Simulation::schedulePathExpiry(Target &entryTarget)
{
    const auto next = entryTarget.m_pathLimiter->nextExpiry();
    if (!next || *next >= entryTarget.m_pathExpiryAt) {
        return;
    }
    entryTarget.m_pathExpiryAt = *next;
    m_events.scheduleAt(*next, [this, &entryTarget] {
        entryTarget.m_pathExpiryAt = TimePoint::max();
        applyPathDecisions(entryTarget, entryTarget.m_pathLimiter->expire(m_events.now()));
    });
}

Simulation::Target *Simulation::chooseTarget(std::size_t service)
{
    auto &targets = m_targets[service];
    Target *best = nullptr;
    const auto load = [](const Target &target) {
        return (1 + static_cast<double>(target.m_calls.size())) / target.m_admission->limit();
    };
    constexpr int Choices = 2;
    for (int choice = 0; choice < Choices;) {
        Target &target = *targets[m_random() % targets.size()];
        if (!target.m_isAlive) {
            continue; // applyPhase() keeps at least one target of each service alive.
        }
        best = best == nullptr || load(target) < load(*best) ? &target : best;
        ++choice;
    }
    return best;
}

/// Sends a call to a target of its service; request and answer each take one hop.
void Simulation::route(const CallPointer &call)
{
    const CallCallback done = call->m_onDone;
    call->m_onDone = [this, done](const Answer &answer) {
        m_events.scheduleAfter(m_graph.hopSeconds, [done, answer] {
            done(answer);
        });
    };
    call->m_target = chooseTarget(serviceOf(*call));
    m_events.scheduleAfter(m_graph.hopSeconds, [this, call] {
        submitToAdmission(call);
    });
    if (!m_policy.cancellation) {
        // The caller times out; the call itself goes on.
        m_events.scheduleAt(call->m_root->m_request->m_deadline, [this, call] {
            finishCall(call, {});
        });
    }
}

void Simulation::submitToAdmission(const CallPointer &call)
{
    Target &target = *call->m_target;
    if (!target.m_isAlive) {
        finishCall(call, {});
        return;
    }
    const EntryId id = m_nextEntryId++;
    CallContext context = call->m_root->m_context;
    if (!m_policy.rootHash) {
        context = context.withRootId(RootId(m_random(), m_random()));
    }
    call->m_entry = makeEntry(id, context);
    target.m_calls.emplace(id, call);
    if (m_policy.admission) {
        applyAdmissionDecisions(target, target.m_admission->submit(call->m_entry, m_events.now()));
    } else {
        runAtBackend(call);
    }
}

void Simulation::applyAdmissionDecisions(Target &target, const AdmissionDecisions &decisions)
{
    for (const AdmissionDecision &decision : decisions) {
        const auto found = target.m_calls.find(decision.id());
        if (found == target.m_calls.end()) {
            continue;
        }
        const CallPointer call = found->second;
        if (decision.isAdmitted()) {
            runAtBackend(call);
            continue;
        }
        target.m_calls.erase(found);
        finishCall(call, {.m_headroom = call->m_level == 0 ? 0 : target.m_admission->headroom(call->m_entry)});
    }
    scheduleAdmissionExpiry(target);
}

void Simulation::scheduleAdmissionExpiry(Target &target)
{
    const auto next = target.m_admission->nextExpiry();
    if (!next || *next >= target.m_admissionExpiryAt) {
        return;
    }
    target.m_admissionExpiryAt = *next;
    m_events.scheduleAt(*next, [this, &target] {
        target.m_admissionExpiryAt = TimePoint::max();
        applyAdmissionDecisions(target, target.m_admission->expire(m_events.now()));
    });
}

void Simulation::runAtBackend(const CallPointer &call)
{
    call->m_isRunning = true;
    call->m_startedAt = m_events.now();
    call->m_target->m_backend->acquire([this, call] {
        call->m_holdsSlot = true;
        call->m_slotAcquiredAt = m_events.now();
        if (!call->m_isRunning) {
            releaseSlot(*call);
            return;
        }
        runOwnWork(call);
    });
    if (m_policy.cancellation) {
        m_events.scheduleAt(call->m_root->m_request->m_deadline, [this, call] {
            finishRun(call, false, false);
        });
    }
}

void Simulation::runOwnWork(const CallPointer &call)
{
    const bool isLast = call->m_level + 1 == kindOf(*call->m_root).path.size();
    call->m_target->m_backend->work(isLast ? 1 : HalfOfOwnWork, [this, call, isLast] {
        if (isLast) {
            finishRun(call, true, false);
        } else {
            callDownstream(call, m_policy.attemptsPerHop);
        }
    });
}

void Simulation::callDownstream(const CallPointer &call, int attemptsLeft)
{
    if (!call->m_isRunning) {
        return;
    }
    const auto child = std::make_shared<Call>();
    child->m_root = call->m_root;
    child->m_level = call->m_level + 1;
    child->m_onDone = [this, call, attemptsLeft](const Answer &answer) {
        if (answer.m_headroom > 0) {
            call->m_downstreamHeadroom = std::min(call->m_downstreamHeadroom, answer.m_headroom);
        }
        if (answer.m_isOk) {
            call->m_target->m_backend->work(HalfOfOwnWork, [this, call] {
                finishRun(call, true, false);
            });
        } else if (attemptsLeft > 1 && m_events.now() < call->m_root->m_request->m_deadline) {
            callDownstream(call, attemptsLeft - 1);
        } else {
            finishRun(call, false, false);
        }
    };
    route(child);
}

/// Releases the slot of a running call, answers the call, and reports its service time to the admission controller.
void Simulation::finishRun(const CallPointer &call, bool isOk, bool isBackendLost)
{
    if (!call->m_isRunning) {
        return;
    }
    call->m_isRunning = false;
    Target &target = *call->m_target;
    if (call->m_holdsSlot) {
        releaseSlot(*call);
    }
    Answer answer{.m_isOk = isOk};
    if (m_policy.admission) {
        // The entry service is left out of the path headroom: calls queued there hold no slots upstream.
        const double own = call->m_level == 0 ? MaxHeadroom : target.m_admission->headroom(call->m_entry);
        answer.m_headroom = std::min(call->m_downstreamHeadroom, own);
    }
    const bool isKnown = target.m_calls.erase(call->m_entry.id()) > 0;
    finishCall(call, answer);
    if (m_policy.admission && isKnown) {
        const Duration total = m_events.now() - call->m_startedAt;
        const RunSample sample = RunSample().withServiceTime(total).withIsFailed(isBackendLost);
        applyAdmissionDecisions(target, target.m_admission->finished(call->m_entry.id(), sample, m_events.now()));
    }
}

void Simulation::releaseSlot(Call &call)
{
    const double held = std::chrono::duration<double>(m_events.now() - call.m_slotAcquiredAt).count();
    call.m_holdsSlot = false;
    call.m_root->m_slotSeconds += held;
    if (isInMeasuredTime()) {
        m_slotSeconds += held;
        m_wastedSlotSeconds += call.m_root->m_isFailed ? held : 0;
    }
    call.m_target->m_backend->release();
}

/// Passes the answer to the call's callback, once; later calls have no effect.
void Simulation::finishCall(const CallPointer &call, const Answer &answer)
{
    if (!call->m_onDone) {
        return;
    }
    const CallCallback done = std::move(call->m_onDone);
    call->m_onDone = nullptr;
    done(answer);
}

bool Simulation::isInMeasuredTime() const
{
    return m_events.nowSeconds() >= m_warmUpSeconds && m_events.nowSeconds() < m_endSeconds;
}

RunResult Simulation::run(double seconds, double warmUpSeconds)
{
    m_warmUpSeconds = warmUpSeconds;
    m_endSeconds = seconds;
    const double measured = seconds - warmUpSeconds;
    m_result.completedBySlice.assign(static_cast<std::size_t>(seconds / RunResult::SliceSeconds), 0);
    for (const KindModel &kind : m_graph.kinds) {
        m_result.kinds.push_back({.name = kind.name, .rank = kind.rank});
    }
    for (std::size_t index = 0; index < m_scenario.phases.size(); ++index) {
        const Phase &phase = m_scenario.phases[index];
        m_events.scheduleAt(EventQueue::startTime() + EventQueue::toDuration(phase.beginSeconds), [this, &phase] {
            applyPhase(phase);
        });
        const double end = index + 1 < m_scenario.phases.size() ? m_scenario.phases[index + 1].beginSeconds : seconds;
        const double phaseFraction = std::max(0.0, end - std::max(warmUpSeconds, phase.beginSeconds)) / measured;
        const std::vector<double> ideal = idealRates(m_graph, phaseWithEqualTargets(phase));
        for (std::size_t kind = 0; kind < ideal.size(); ++kind) {
            m_result.kinds[kind].ideal += phaseFraction * ideal[kind];
        }
    }
    // Lets the last requests that were sent finish.
    const double grace = 2 * m_graph.kinds.front().deadlineSeconds;
    m_events.runUntil(EventQueue::startTime() + EventQueue::toDuration(seconds + grace));
    for (KindResult &kind : m_result.kinds) {
        kind.offered /= measured;
        kind.goodput /= measured;
    }
    m_result.failedAttempts /= measured;
    m_result.wastedFraction = m_slotSeconds > 0 ? m_wastedSlotSeconds / m_slotSeconds : 0;
    measureRecovery();
    return m_result;
}

/// The phase with the service time of equal targets that have the same total capacity as the unequal ones: the harmonic
/// mean of the factors.
Phase Simulation::phaseWithEqualTargets(Phase phase) const
{
    if (!m_scenario.unequalTargets) {
        return phase;
    }
    for (std::size_t service = 0; service < m_graph.services.size(); ++service) {
        double speed = 0;
        const int targets = m_graph.services[service].targets;
        for (int index = 0; index < targets; ++index) {
            speed += 1 / UnequalFactors[static_cast<std::size_t>(index) % UnequalFactors.size()];
        }
        phase.serviceTimeFactor[service] *= targets / speed;
    }
    return phase;
}

void Simulation::measureRecovery()
{
    if (!m_scenario.triggerEnd) {
        return;
    }
    m_result.hasTrigger = true;
    const auto sliceOf = [](double seconds) {
        return static_cast<std::size_t>(std::lround(seconds / RunResult::SliceSeconds));
    };
    const auto &slices = m_result.completedBySlice;
    const auto sum = [&](std::size_t begin, std::size_t count) {
        return std::accumulate(slices.begin() + static_cast<std::ptrdiff_t>(begin),
                               slices.begin() + static_cast<std::ptrdiff_t>(begin + count),
                               0.0);
    };
    const std::size_t baselineBegin = sliceOf(m_warmUpSeconds);
    const std::size_t baselineCount = sliceOf(*m_scenario.triggerBegin) - baselineBegin;
    const double baseline = sum(baselineBegin, baselineCount) / static_cast<double>(baselineCount);
    const std::size_t window = sliceOf(RecoveryWindowSeconds);
    const std::size_t triggerEnd = sliceOf(*m_scenario.triggerEnd);
    for (std::size_t begin = triggerEnd; begin + window <= slices.size(); ++begin) {
        if (sum(begin, window) >= RecoveredFraction * baseline * static_cast<double>(window)) {
            m_result.recoverySeconds = static_cast<double>(begin - triggerEnd) * RunResult::SliceSeconds;
            return;
        }
    }
}

double RunResult::totalGoodput() const
{
    return std::accumulate(kinds.begin(), kinds.end(), 0.0, [](double sum, const KindResult &kind) {
        return sum + kind.goodput;
    });
}

double RunResult::totalIdeal() const
{
    return std::accumulate(kinds.begin(), kinds.end(), 0.0, [](double sum, const KindResult &kind) {
        return sum + kind.ideal;
    });
}

double RunResult::totalOffered() const
{
    return std::accumulate(kinds.begin(), kinds.end(), 0.0, [](double sum, const KindResult &kind) {
        return sum + kind.offered;
    });
}

} // namespace fescuepond::experiment
