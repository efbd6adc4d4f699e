// Runs one scenario under one policy in virtual time.

#include "benchmarks/experiment/simulation.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace fescuepond::experiment
{

namespace
{

/// Own service times of targets of one service in cases with unequal targets.
constexpr std::array<double, 3> UnequalFactors = {0.5, 1.0, 2.0};
constexpr double RecoveredPart = 0.95;
constexpr double RecoveryWindowSeconds = 1;
constexpr double HalfOfWork = 0.5;

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

const KindModel &Simulation::kindOf(const Root &root) const
{
    return m_graph.kinds[root.m_request->m_kind];
}

std::size_t Simulation::serviceOf(const Call &call) const
{
    return kindOf(*call.m_root).path[call.m_level];
}

std::unique_ptr<AdmissionController> Simulation::makeAdmission(std::size_t service) const
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
            target->m_admission = makeAdmission(service);
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
        const double part = phase.aliveTargets[service];
        const auto alive = static_cast<std::size_t>(std::lround(part * static_cast<double>(targets.size())));
        for (std::size_t index = 0; index < targets.size(); ++index) {
            setAlive(service, *targets[index], index < std::max<std::size_t>(1, alive));
            targets[index]->m_backend->setTimeFactor(phase.timeFactor[service]);
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
        drop(target);
    }
}

/// A new process beside a new backend server: nothing is known, and the backend server is cold.
void Simulation::restart(std::size_t service, Target &target)
{
    drop(target);
    target.m_admission = makeAdmission(service);
    target.m_pathLimiter = makePathLimiter();
    target.m_backend->becomeCold();
}

/// All calls at a target are lost.
void Simulation::drop(Target &target)
{
    const std::unordered_map<EntryId, CallPointer> lost = std::move(target.m_calls);
    const std::unordered_map<EntryId, CallPointer> entering = std::move(target.m_entering);
    target.m_calls.clear();
    target.m_entering.clear();
    for (const auto &[id, call] : lost) {
        if (call->m_isRunning) {
            endRun(call, false, true);
        } else {
            end(call, {});
        }
    }
    for (const auto &[id, call] : entering) {
        end(call, {});
    }
}

void Simulation::scheduleArrival(std::size_t kind, std::uint64_t generation)
{
    if (m_phase.demand[kind] <= 0) {
        return;
    }
    const double pause = std::exponential_distribution<>(m_phase.demand[kind])(m_random);
    m_events.after(pause, [this, kind, generation] {
        if (generation != m_arrivalGeneration[kind]) {
            return;
        }
        arrive(kind);
        scheduleArrival(kind, generation);
    });
}

void Simulation::arrive(std::size_t kind)
{
    const auto request = std::make_shared<UserRequest>();
    request->m_kind = kind;
    request->m_sentAt = m_events.now();
    request->m_deadline = m_events.now() + EventQueue::toDuration(m_graph.kinds[kind].deadlineSeconds);
    request->m_attemptsLeft = m_phase.callerAttempts;
    if (isMeasured()) {
        m_result.kinds[kind].offered += 1;
    }
    sendRoot(request);
}

void Simulation::sendRoot(const std::shared_ptr<UserRequest> &request)
{
    --request->m_attemptsLeft;
    const KindModel &kind = m_graph.kinds[request->m_kind];
    const auto root = std::make_shared<Root>();
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
    call->m_done = [this, root](const Answer &answer) {
        rootEnded(root, answer.m_isOk);
    };
    Target *front = chooseTarget(kind.path.front());
    if (m_policy.pathLimit) {
        enter(*front, call);
    } else {
        route(call);
    }
}

void Simulation::rootEnded(const std::shared_ptr<Root> &root, bool isOk)
{
    const std::shared_ptr<UserRequest> &request = root->m_request;
    const double now = m_events.nowSeconds();
    const double sent = std::chrono::duration<double>(request->m_sentAt - EventQueue::begin()).count();
    const bool inTime = isOk && m_events.now() <= request->m_deadline;
    root->m_isFailed = !inTime;
    if (isMeasured()) {
        m_result.refusals += isOk ? 0 : 1;
        m_wastedSlotSeconds += inTime ? 0 : root->m_slotSeconds;
    }
    if (inTime) {
        const auto slice = static_cast<std::size_t>(now / RunResult::SliceSeconds);
        m_result.doneBySlice[std::min(slice, m_result.doneBySlice.size() - 1)] += 1;
        if (sent >= m_warmUpSeconds && sent < m_endSeconds) {
            m_result.kinds[request->m_kind].done += 1;
        }
        return;
    }
    if (request->m_attemptsLeft > 0 && m_events.now() < request->m_deadline) {
        m_events.after(2 * m_graph.hopSeconds, [this, request] {
            sendRoot(request);
        });
    }
}

PathKey Simulation::pathOf(const Root &root) const
{
    const KindModel &kind = kindOf(root);
    return PathKey().withService(m_graph.services[kind.path.front()].name).withKind(kind.name);
}

void Simulation::enter(Target &front, const CallPointer &call)
{
    const EntryId id = m_nextEntry++;
    front.m_entering.emplace(id, call);
    const AdmissionEntry entry = makeEntry(id, call->m_root->m_context);
    applyEntry(front, front.m_pathLimiter->submit(pathOf(*call->m_root), entry, m_events.now()));
}

void Simulation::applyEntry(Target &front, const AdmissionDecisions &decisions)
{
    for (const AdmissionDecision &decision : decisions) {
        const auto found = front.m_entering.find(decision.id());
        if (found == front.m_entering.end()) {
            continue;
        }
        const CallPointer call = found->second;
        front.m_entering.erase(found);
        if (decision.isAdmitted()) {
            letIn(front, call, decision.id());
        } else {
            end(call, {});
        }
    }
    scheduleEntryExpiry(front);
}

void Simulation::letIn(Target &front, const CallPointer &call, EntryId id)
{
    const TimePoint begin = m_events.now();
    const CallDone done = call->m_done;
    call->m_done =
        [this, &front, limiter = front.m_pathLimiter, root = call->m_root, id, begin, done](const Answer &answer) {
            const auto taken = answer.m_isOk ? std::optional(m_events.now() - begin) : std::nullopt;
            applyEntry(front, limiter->finished(pathOf(*root), id, answer.m_room, taken, m_events.now()));
            done(answer);
        };
    route(call);
}

void Simulation::scheduleEntryExpiry(Target &front)
{
    const auto next = front.m_pathLimiter->nextExpiry();
    if (!next || *next >= front.m_entryExpiryAt) {
        return;
    }
    front.m_entryExpiryAt = *next;
    m_events.at(*next, [this, &front] {
        front.m_entryExpiryAt = TimePoint::max();
        applyEntry(front, front.m_pathLimiter->expire(m_events.now()));
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
            continue; // At least one target of each service is alive.
        }
        best = best == nullptr || load(target) < load(*best) ? &target : best;
        ++choice;
    }
    return best;
}

/// Sends a call to a target of its service.
void Simulation::route(const CallPointer &call)
{
    const CallDone done = call->m_done;
    call->m_done = [this, done](const Answer &answer) {
        m_events.after(m_graph.hopSeconds, [done, answer] {
            done(answer);
        });
    };
    call->m_target = chooseTarget(serviceOf(*call));
    m_events.after(m_graph.hopSeconds, [this, call] {
        submit(call);
    });
    if (!m_policy.cancellation) {
        // The caller gives up; the call itself goes on.
        m_events.at(call->m_root->m_request->m_deadline, [this, call] {
            end(call, {});
        });
    }
}

void Simulation::submit(const CallPointer &call)
{
    Target &target = *call->m_target;
    if (!target.m_isAlive) {
        end(call, {});
        return;
    }
    const EntryId id = m_nextEntry++;
    CallContext context = call->m_root->m_context;
    if (!m_policy.rootHash) {
        context = context.withRootId(RootId(m_random(), m_random()));
    }
    call->m_entry = makeEntry(id, context);
    target.m_calls.emplace(id, call);
    if (m_policy.admission) {
        apply(target, target.m_admission->submit(call->m_entry, m_events.now()));
    } else {
        runAtBackend(call);
    }
}

void Simulation::apply(Target &target, const AdmissionDecisions &decisions)
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
        end(call, {.m_room = call->m_level == 0 ? 0 : target.m_admission->headroom(call->m_entry)});
    }
    scheduleExpiry(target);
}

void Simulation::scheduleExpiry(Target &target)
{
    const auto next = target.m_admission->nextExpiry();
    if (!next || *next >= target.m_expiryAt) {
        return;
    }
    target.m_expiryAt = *next;
    m_events.at(*next, [this, &target] {
        target.m_expiryAt = TimePoint::max();
        apply(target, target.m_admission->expire(m_events.now()));
    });
}

void Simulation::runAtBackend(const CallPointer &call)
{
    call->m_isRunning = true;
    call->m_startedAt = m_events.now();
    call->m_target->m_backend->acquire([this, call] {
        call->m_holdsSlot = true;
        call->m_slotSince = m_events.now();
        if (!call->m_isRunning) {
            releaseSlot(*call);
            return;
        }
        runOwnWork(call);
    });
    if (m_policy.cancellation) {
        m_events.at(call->m_root->m_request->m_deadline, [this, call] {
            endRun(call, false, false);
        });
    }
}

void Simulation::runOwnWork(const CallPointer &call)
{
    const bool isLast = call->m_level + 1 == kindOf(*call->m_root).path.size();
    call->m_target->m_backend->work(isLast ? 1 : HalfOfWork, [this, call, isLast] {
        if (isLast) {
            endRun(call, true, false);
        } else {
            callBelow(call, m_policy.hopAttempts);
        }
    });
}

void Simulation::callBelow(const CallPointer &call, int attemptsLeft)
{
    if (!call->m_isRunning) {
        return;
    }
    const auto child = std::make_shared<Call>();
    child->m_root = call->m_root;
    child->m_level = call->m_level + 1;
    child->m_done = [this, call, attemptsLeft](const Answer &answer) {
        if (answer.m_room > 0) {
            call->m_roomBelow = std::min(call->m_roomBelow, answer.m_room);
        }
        if (answer.m_isOk) {
            call->m_target->m_backend->work(HalfOfWork, [this, call] {
                endRun(call, true, false);
            });
        } else if (attemptsLeft > 1 && m_events.now() < call->m_root->m_request->m_deadline) {
            callBelow(call, attemptsLeft - 1);
        } else {
            endRun(call, false, false);
        }
    };
    route(child);
}

/// The call gives its slot back and is answered.
void Simulation::endRun(const CallPointer &call, bool isOk, bool isLost)
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
        // What waits at the entry service itself holds no slot above.
        const double own = call->m_level == 0 ? MaxHeadroom : target.m_admission->headroom(call->m_entry);
        answer.m_room = std::min(call->m_roomBelow, own);
    }
    const bool isKnown = target.m_calls.erase(call->m_entry.id()) > 0;
    end(call, answer);
    if (m_policy.admission && isKnown) {
        const Duration total = m_events.now() - call->m_startedAt;
        const RunSample sample = RunSample().withServiceTime(total).withFailed(isLost);
        apply(target, target.m_admission->finished(call->m_entry.id(), sample, m_events.now()));
    }
}

void Simulation::releaseSlot(Call &call)
{
    const double held = std::chrono::duration<double>(m_events.now() - call.m_slotSince).count();
    call.m_holdsSlot = false;
    call.m_root->m_slotSeconds += held;
    if (isMeasured()) {
        m_slotSeconds += held;
        m_wastedSlotSeconds += call.m_root->m_isFailed ? held : 0;
    }
    call.m_target->m_backend->release();
}

/// Answers a call; does nothing when it was answered before.
void Simulation::end(const CallPointer &call, const Answer &answer)
{
    if (!call->m_done) {
        return;
    }
    const CallDone done = std::move(call->m_done);
    call->m_done = nullptr;
    done(answer);
}

bool Simulation::isMeasured() const
{
    return m_events.nowSeconds() >= m_warmUpSeconds && m_events.nowSeconds() < m_endSeconds;
}

RunResult Simulation::run(double seconds, double warmUpSeconds)
{
    m_warmUpSeconds = warmUpSeconds;
    m_endSeconds = seconds;
    const double measured = seconds - warmUpSeconds;
    m_result.doneBySlice.assign(static_cast<std::size_t>(seconds / RunResult::SliceSeconds), 0);
    for (const KindModel &kind : m_graph.kinds) {
        m_result.kinds.push_back({.name = kind.name, .rank = kind.rank});
    }
    for (std::size_t index = 0; index < m_scenario.phases.size(); ++index) {
        const Phase &phase = m_scenario.phases[index];
        m_events.at(EventQueue::begin() + EventQueue::toDuration(phase.beginSeconds), [this, &phase] {
            applyPhase(phase);
        });
        const double end = index + 1 < m_scenario.phases.size() ? m_scenario.phases[index + 1].beginSeconds : seconds;
        const double part = std::max(0.0, end - std::max(warmUpSeconds, phase.beginSeconds)) / measured;
        const std::vector<double> ideal = idealRates(m_graph, idealPhase(phase));
        for (std::size_t kind = 0; kind < ideal.size(); ++kind) {
            m_result.kinds[kind].ideal += part * ideal[kind];
        }
    }
    // The last requests sent have their time to be answered.
    const double grace = 2 * m_graph.kinds.front().deadlineSeconds;
    m_events.runUntil(EventQueue::begin() + EventQueue::toDuration(seconds + grace));
    for (KindResult &kind : m_result.kinds) {
        kind.offered /= measured;
        kind.done /= measured;
    }
    m_result.refusals /= measured;
    m_result.wastedPart = m_slotSeconds > 0 ? m_wastedSlotSeconds / m_slotSeconds : 0;
    measureRecovery();
    return m_result;
}

/// Unequal targets serve as many calls as equal ones whose time is the harmonic mean.
Phase Simulation::idealPhase(Phase phase) const
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
        phase.timeFactor[service] *= targets / speed;
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
    const auto &slices = m_result.doneBySlice;
    const auto sum = [&](std::size_t begin, std::size_t count) {
        return std::accumulate(slices.begin() + static_cast<std::ptrdiff_t>(begin),
                               slices.begin() + static_cast<std::ptrdiff_t>(begin + count),
                               0.0);
    };
    const std::size_t beforeBegin = sliceOf(m_warmUpSeconds);
    const std::size_t beforeCount = sliceOf(*m_scenario.triggerBegin) - beforeBegin;
    const double before = sum(beforeBegin, beforeCount) / static_cast<double>(beforeCount);
    const std::size_t window = sliceOf(RecoveryWindowSeconds);
    const std::size_t triggerEnd = sliceOf(*m_scenario.triggerEnd);
    for (std::size_t begin = triggerEnd; begin + window <= slices.size(); ++begin) {
        if (sum(begin, window) >= RecoveredPart * before * static_cast<double>(window)) {
            m_result.recoverySeconds = static_cast<double>(begin - triggerEnd) * RunResult::SliceSeconds;
            return;
        }
    }
}

double RunResult::totalDone() const
{
    return std::accumulate(kinds.begin(), kinds.end(), 0.0, [](double sum, const KindResult &kind) {
        return sum + kind.done;
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
