// `fescuepond node`: runs a node until it is told to stop.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/settings/settingsreader.h"
#include "core/verbs/verb.h"

#include <gflags/gflags.h>

#include <csignal>
#include <thread>

DEFINE_string(settings, "", "Path of the node's settings file.");

namespace fescuepond
{

namespace
{

/// Ends the wait for a signal when the stop came from elsewhere.
constexpr int WakeSignal = SIGUSR1;

/// Signals that begin a planned stop.
sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, WakeSignal);
    return signals;
}

/// Waits for a stop signal on a thread of its own. The signals are blocked in all threads.
class SignalWaiter
{
public:
    explicit SignalWaiter(Kernel &kernel)
        : m_thread([&kernel] {
            const sigset_t signals = stopSignals();
            int received = 0;
            sigwait(&signals, &received);
            kernel.requestStop();
        })
    {
    }
    ~SignalWaiter()
    {
        pthread_kill(m_thread.native_handle(), WakeSignal);
        m_thread.join();
    }
    SignalWaiter(const SignalWaiter &) = delete;
    SignalWaiter &operator=(const SignalWaiter &) = delete;

private:
    std::thread m_thread;
};

Result<ExitCode> runNode()
{
    BOOST_LEAF_AUTO(settings, readSettingsFile(FLAGS_settings));
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    const SteadyClock clock;
    Kernel kernel(settings, clock);
    BOOST_LEAF_CHECK(kernel.start(registeredPlugins()));
    Event("node_started")
        .with("name", settings.name())
        .with("service", settings.service())
        .with("zone", settings.zone());
    const SignalWaiter waiter(kernel);
    kernel.waitForStopRequest();
    return kernel.drainAndStop() ? ExitCode::Done : ExitCode::Findings;
}

ExitCode run(const Arguments &arguments)
{
    if (FLAGS_settings.empty() || !arguments.empty()) {
        fmt::print(stderr, "usage: fescuepond node --settings=FILE\n");
        return ExitCode::Usage;
    }
    return reportFindings(runNode);
}

const VerbRegistration
    registration({"node", "--settings=FILE", "Runs the node beside a backend server.", {"settings"}, run});

} // namespace

} // namespace fescuepond
