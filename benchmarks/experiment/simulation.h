// Discrete-event simulation of one scenario under one policy, in virtual time. Admission and path limits run the
// product's code; callers, backend servers and the network are simple models.

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

    /// Sends requests for `seconds` of virtual time; the first `warmUpSeconds` are not measured.
    RunResult run(double seconds, double warmUpSeconds);

private:
    /// One request of a caller, with its retries.
    struct CallerRequest {
        std::size_t m_kind = 0;
        TimePoint m_sentAt;
        TimePoint m_deadline;
        int m_attemptsLeft = 0;
    };
    /// One attempt of a CallerRequest. It enters the call graph as a root request.
    struct RootRequest {
        std::shared_ptr<CallerRequest> m_request;
        CallContext m_context;
        double m_slotSeconds = 0; ///< Slot time of all its calls.
        bool m_isFailed = false; ///< Finished without an answer within the deadline; its calls may still run.
    };
    struct Answer {
        bool m_isOk = false;
        double m_headroom = 0; ///< Headroom of the bottleneck service on the path; 0: unknown.
    };
    using CallCallback = std::function<void(const Answer &)>;
    struct Target;
    /// One call of one service, made for a root request.
    struct Call {
        std::shared_ptr<RootRequest> m_root;
        std::size_t m_level = 0; ///< Index of its service in KindModel::path.
        CallCallback m_onDone; ///< Empty once the call has finished.
        AdmissionEntry m_entry;
        Target *m_target = nullptr;
        bool m_isRunning = false; ///< Sent to the backend server and not finished there.
        bool m_holdsSlot = false; ///< It holds a slot of the backend server.
        TimePoint m_slotAcquiredAt;
        TimePoint m_startedAt;
        double m_downstreamHeadroom = MaxHeadroom; ///< Lowest headroom that its downstream calls reported.
    };
    using CallPointer = std::shared_ptr<Call>;
    /// A node and its backend server.
    struct Target {
        std::unique_ptr<AdmissionController> m_admission;
        std::unique_ptr<FakeBackend> m_backend;
        std::shared_ptr<PathLimiter> m_pathLimiter; ///< For root requests that enter at this node.
        std::unordered_map<EntryId, CallPointer> m_calls; ///< Submitted to m_admission and not finished.
        std::unordered_map<EntryId, CallPointer> m_queuedAtEntry; ///< Submitted to m_pathLimiter and not decided.
        TimePoint m_admissionExpiryAt = TimePoint::max(); ///< Time of the next scheduled expire() of m_admission.
        TimePoint m_pathExpiryAt = TimePoint::max(); ///< Time of the next scheduled expire() of m_pathLimiter.
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
    /// By kind. Each phase increments it, which cancels the arrival scheduled at the demand of the phase before.
    std::vector<std::uint64_t> m_arrivalGeneration;
    Phase m_phase;
    EntryId m_nextEntryId = 1;
    double m_warmUpSeconds = 0;
    double m_endSeconds = 0;
    double m_slotSeconds = 0; ///< Total time that calls held slots; counted on release in the measured time.
    double m_wastedSlotSeconds = 0; ///< Likewise, of calls whose root request failed.
    RunResult m_result;
};

} // namespace fescuepond::experiment
