// Refusing calls while the processor is the bottleneck. Guards against a node that takes on every call, so that each is
// late and none is of use to its caller, and against refusals by a node that was only paused.

#include "servers/processorload/loadshedder.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace fescuepond
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{std::chrono::hours(1)};
constexpr auto RunTime = seconds(14);
/// What is served is counted from here on, when the node has had time to adapt.
constexpr auto CountFrom = seconds(4);
constexpr auto CallCost = microseconds(400);
constexpr auto RefusalCost = microseconds(40);
constexpr auto CallTimeLimit = milliseconds(500);
constexpr auto ProbeInterval = milliseconds(50);
constexpr int RankCount = 4;

/// The least share of what the processor can serve that calls must get in time.
constexpr double MinServedShare = 2.0 / 3;

double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// A node whose processor does one thing after the other: calls, refusals and due tasks.
class Model
{
public:
    explicit Model(bool sheds)
        : m_sheds(sheds)
    {
    }

    void run(double callsPerSecond)
    {
        m_callsPerSecond = callsPerSecond;
        TimePoint nextCall = Start;
        TimePoint nextProbe = Start;
        TimePoint processorFreeAt = Start;
        while (std::min(nextCall, nextProbe) < Start + RunTime) {
            if (nextProbe <= nextCall) {
                processorFreeAt = std::max(processorFreeAt, nextProbe);
                m_shedder.taskRan(processorFreeAt - nextProbe, processorFreeAt);
                nextProbe += ProbeInterval;
                continue;
            }
            processorFreeAt = std::max(processorFreeAt, nextCall);
            const Rank rank = static_cast<Rank>(m_random() % RankCount);
            const bool isAdmitted = !m_sheds || m_shedder.admits(rank, m_random(), processorFreeAt);
            processorFreeAt += isAdmitted ? Duration(CallCost) : Duration(RefusalCost);
            count(rank, nextCall, isAdmitted && processorFreeAt <= nextCall + CallTimeLimit);
            nextCall += std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(std::exponential_distribution<double>(callsPerSecond)(m_random)));
        }
    }

    /// The calls that were served in time, as a fraction of those that the processor can serve beside the refusals.
    double servedShare() const
    {
        const double perSecond = (1 - m_callsPerSecond * inSeconds(RefusalCost)) / inSeconds(CallCost - RefusalCost);
        const double possible = std::min(perSecond, m_callsPerSecond) * inSeconds(RunTime - CountFrom);
        double served = 0;
        for (const auto &[rank, calls] : m_served) {
            served += calls;
        }
        return served / possible;
    }
    /// The fraction of the calls of a rank that were served in time.
    double servedOf(Rank rank)
    {
        return m_served[rank] / m_arrived[rank];
    }

private:
    void count(Rank rank, TimePoint arrivedAt, bool isServed)
    {
        if (arrivedAt >= Start + CountFrom) {
            m_arrived[rank] += 1;
            m_served[rank] += isServed ? 1 : 0;
        }
    }

    const bool m_sheds;
    double m_callsPerSecond = 0;
    std::mt19937_64 m_random{20261205};
    LoadShedder m_shedder;
    std::map<Rank, double> m_arrived;
    std::map<Rank, double> m_served;
};

constexpr double ProcessorCapacity = 2500; ///< Calls a second: one in CallCost.

} // namespace

TEST(LoadShedder, NodeShortOfProcessorTimeServesWhatItCan)
{
    for (const double load : {1.2, 2.0, 3.0}) {
        Model model(true);
        model.run(load * ProcessorCapacity);
        EXPECT_GE(model.servedShare(), MinServedShare) << load;
    }
}

/// Shows that the model has the fault that the shedder answers.
TEST(LoadShedder, ModelWithoutItServesHardlyAnyCallInTime)
{
    Model model(false);
    model.run(2 * ProcessorCapacity);
    EXPECT_LT(model.servedShare(), 0.1);
}

TEST(LoadShedder, MostImportantCallsAreServedFirst)
{
    Model model(true);
    model.run(2 * ProcessorCapacity);
    EXPECT_GE(model.servedOf(0), 0.9);
    EXPECT_LE(model.servedOf(RankCount - 1), model.servedOf(0));
}

TEST(LoadShedder, NothingIsRefusedBelowCapacity)
{
    Model model(true);
    model.run(0.7 * ProcessorCapacity);
    EXPECT_GE(model.servedShare(), 0.999);
}

TEST(LoadShedder, PauseOfTheProcessIsNoOverload)
{
    for (int pausedAt = 50; pausedAt < 60; ++pausedAt) {
        LoadShedder shedder;
        TimePoint now = Start;
        for (int i = 0; i < 100; ++i) {
            const Duration delay = i == pausedAt ? Duration(seconds(3)) : Duration(milliseconds(1));
            now += ProbeInterval + delay;
            shedder.taskRan(delay, now);
            EXPECT_TRUE(shedder.admits(0, ~0ULL, now)) << pausedAt << " " << i;
        }
    }
}

} // namespace fescuepond
