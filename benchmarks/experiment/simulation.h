// Runs one scenario under one policy in virtual time. The decisions are those of the product; callers, backend servers
// and the way between nodes are small fakes.

#pragma once

#include "benchmarks/experiment/cases.h"
#include "benchmarks/experiment/eventqueue.h"
#include "benchmarks/experiment/fakebackend.h"
#include "benchmarks/experiment/policy.h"
#include "benchmarks/experiment/result.h"
#include "servers/admission/admissioncontroller.h"
#include "servers/pathlimit/pathlimiter.h"

#include <functional>
#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

namespace fescuepond::experiment
{

class Simulation
{
public:
    Simulation(const CallGraph &graph, const Scenario &scenario, const Policy &policy, std::uint64_t seed);

    /// Runs for `seconds` of virtual time; the first `warmUpSeconds` are not measured.
    RunResult run(double seconds, double warmUpSeconds);

private:
    /// What a caller wants once, however often it sends it.
    struct CallerRequest {
        std::size_t m_kind = 0;
        TimePoint m_sentAt;
        TimePoint m_deadline;
        int m_attemptsLeft = 0;
    };
    /// One sending of a root request.
    struct RootRequest {
        std::shared_ptr<CallerRequest> m_request;
        CallContext m_context;
        double m_slotSeconds = 0; ///< Over all its calls.
        bool m_isFailed = false; ///< It has ended without an answer in time; calls of it may still run.
    };
    struct Answer {
        bool m_isOk = false;
        double m_headroom = 0; ///< Of the narrowest service on its way; 0: unsaid.
    };
    using CallCallback = std::function<void(const Answer &)>;
    struct Target;
    /// One call of one service.
    struct Call {
        std::shared_ptr<RootRequest> m_root;
        std::size_t m_level = 0; ///< In the path of the kind.
        CallCallback m_onDone; ///< Empty once the call has ended.
        AdmissionEntry m_entry;
        Target *m_target = nullptr;
        bool m_isRunning = false; ///< Given to the backend server.
        bool m_holdsSlot = false; ///< The backend server has begun it.
        TimePoint m_slotAcquiredAt;
        TimePoint m_startedAt;
        double m_downstreamHeadroom = MaxHeadroom;
    };
    using CallPointer = std::shared_ptr<Call>;
    struct Target {
        std::unique_ptr<AdmissionController> m_admission;
        std::unique_ptr<FakeBackend> m_backend;
        std::shared_ptr<PathLimiter> m_pathLimiter; ///< For root requests that enter here.
        std::unordered_map<EntryId, CallPointer> m_calls; ///< Submitted to m_admission and not ended.
        std::unordered_map<EntryId, CallPointer> m_queuedAtEntry; ///< Submitted to m_pathLimiter and not ended.
        TimePoint m_admissionExpiryAt = TimePoint::max(); ///< When an event for m_admission is due.
        TimePoint m_pathExpiryAt = TimePoint::max(); ///< When an event for m_pathLimiter is due.
        bool m_isAlive = true;
    };

    const KindModel &kindOf(const RootRequest &root) const;
    std::size_t serviceOf(const Call &call) const;

    void buildTargets();
    std::unique_ptr<AdmissionController> makeAdmissionController(std::size_t service) const;
    std::shared_ptr<PathLimiter> makePathLimiter() const;
    void applyPhase(const Phase &phase);
    void setAlive(std::size_t service, Target &target, bool alive);
    void restart(std::size_t service, Target &target);
    void failAllCalls(Target &target);

    void scheduleArrival(std::size_t kind, std::uint64_t generation);
    void handleArrival(std::size_t kind);
    void sendRootRequest(const std::shared_ptr<CallerRequest> &request);
    void finishRootRequest(const std::shared_ptr<RootRequest> &root, bool isOk);
    void submitToPathLimiter(Target &entryTarget, const CallPointer &call);
    void admitAtEntry(Target &entryTarget, const CallPointer &call, EntryId id);
    PathKey pathOf(const RootRequest &root) const;
    void applyPathDecisions(Target &entryTarget, const AdmissionDecisions &decisions);
    void schedulePathExpiry(Target &entryTarget);

    void route(const CallPointer &call);
    Target *chooseTarget(std::size_t service);
    void submitToAdmission(const CallPointer &call);
    void applyAdmissionDecisions(Target &target, const AdmissionDecisions &decisions);
    void scheduleAdmissionExpiry(Target &target);
    void runAtBackend(const CallPointer &call);
    void runOwnWork(const CallPointer &call);
    void callDownstream(const CallPointer &call, int attemptsLeft);
    void finishRun(const CallPointer &call, bool isOk, bool isBackendLost);
    void releaseSlot(Call &call);
    Phase phaseWithEqualTargets(Phase phase) const;
    bool isInMeasuredTime() const;
    void measureRecovery();
    void finishCall(const CallPointer &call, const Answer &answer);

    const CallGraph &m_graph;
    const Scenario &m_scenario;
    const Policy &m_policy;
    std::mt19937_64 m_random;
    EventQueue m_events;
    std::vector<std::vector<std::unique_ptr<Target>>> m_targets; ///< By service.
    std::vector<std::uint64_t> m_arrivalGeneration; ///< By kind; raised when its demand changes.
    Phase m_phase;
    EntryId m_nextEntry = 1;
    double m_warmUpSeconds = 0;
    double m_endSeconds = 0;
    double m_slotSeconds = 0; ///< Of all calls in the measured time.
    double m_wastedSlotSeconds = 0; ///< Of calls whose roots failed.
    RunResult m_result;
};

} // namespace fescuepond::experiment
