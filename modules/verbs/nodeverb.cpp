// `fescuepond node`: runs a node until a signal or the operator listener requests its stop.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/kernel/yaml.h"
#include "core/settings/settingsdifference.h"
#include "core/settings/settingsreader.h"
#include "core/verbs/verb.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <thread>
#include <utility>

DEFINE_string(settings, "", "Path of the node's settings file; default: the path in FESCUEPOND_CONFIG.");

namespace fescuepond
{

namespace
{

/// Unblocks the signal thread if the stop was requested at the operator listener and not by a signal.
constexpr int WakeSignal = SIGUSR1;
/// How often the settings file is checked for changes without a signal.
constexpr Duration FileCheckInterval = std::chrono::seconds(2);

/// Signals that the node waits for: stop requests, the wake signal, and SIGHUP to check the settings file.
sigset_t handledSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, WakeSignal);
    sigaddset(&signals, SIGHUP);
    return signals;
}

std::string joined(const StringList &texts)
{
    std::string result;
    for (const std::string &text : texts) {
        result += (result.empty() ? "" : ",") + text;
    }
    return result;
}

/// Checks the settings file periodically and on request, and logs changed keys and findings. Changes are not applied to
/// the running node, so that no work in flight is interrupted: they take effect at the next start.
class SettingsFileWatcher
{
public:
    SettingsFileWatcher(Kernel &kernel, std::string path, std::string text)
        : m_path(std::move(path))
        , m_text(LockRank::Plugins, std::move(text))
    {
        kernel.timers().every(FileCheckInterval, [this] {
            check("file");
        });
    }

    void check(const char *cause)
    {
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(text, readTextFile(m_path));
                const std::string before = m_text.locked([&](std::string &known) {
                    return std::exchange(known, text);
                });
                if (before == text) {
                    return {};
                }
                BOOST_LEAF_CHECK(readSettings(m_path, text));
                BOOST_LEAF_AUTO(changed, changedSettings(m_path, before, text));
                Event("settings_changed")
                    .with("cause", cause)
                    .with("keys", joined(changed))
                    .with("in_force", "at the next start");
                return {};
            },
            [&](const Findings &findings) {
                Event("settings_unusable").with("cause", cause).with("findings", toString(findings));
            },
            [&] {
                Event("settings_unusable").with("cause", cause);
            });
    }

private:
    const std::string m_path;
    SharedTable<std::string> m_text; ///< The file as last read.
};

/// Waits for signals on its own thread and requests the node's stop. The signals are blocked in all threads, so that
/// sigwait() receives them.
class SignalWaiter
{
public:
    SignalWaiter(Kernel &kernel, SettingsFileWatcher &settings)
        : m_thread([&kernel, &settings] {
            const sigset_t signals = handledSignals();
            int received = SIGHUP;
            while (received == SIGHUP) {
                sigwait(&signals, &received);
                if (received == SIGHUP) {
                    Event("reload_requested").with("signal", "SIGHUP");
                    settings.check("signal");
                }
            }
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

/// The path in the flag, or else in the environment variable.
std::string settingsPath()
{
    const char *named = std::getenv("FESCUEPOND_CONFIG");
    return FLAGS_settings.empty() && named != nullptr ? named : FLAGS_settings;
}

Result<ExitCode> runNode()
{
    const std::string path = settingsPath();
    BOOST_LEAF_AUTO(text, readTextFile(path));
    BOOST_LEAF_AUTO(settings, readSettings(path, text));
    const sigset_t signals = handledSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    startEventLog(settings.name(), settings.logLinesPerSecond());
    const SteadyClock clock;
    Kernel kernel(settings, clock);
    BOOST_LEAF_CHECK(kernel.start(registeredPlugins()));
    Event("node_started")
        .with("name", settings.name())
        .with("service", settings.service())
        .with("zone", settings.zone());
    SettingsFileWatcher settingsWatcher(kernel, path, text);
    const SignalWaiter waiter(kernel, settingsWatcher);
    kernel.waitForStopRequest();
    return kernel.drainAndStop() ? ExitCode::Done : ExitCode::Findings;
}

ExitCode run(const Arguments &arguments)
{
    if (settingsPath().empty() || !arguments.empty()) {
        fmt::print(stderr, "usage: fescuepond node --settings=FILE\n");
        return ExitCode::Usage;
    }
    return reportFindings(runNode);
}

const VerbRegistration
    registration({"node", "--settings=FILE", "Runs the node beside a backend server.", {"settings"}, run});

} // namespace

} // namespace fescuepond
