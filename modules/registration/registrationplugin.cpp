// Tracks the state of the backend server on this VM from its reports, and publishes to the fleet whether it accepts
// work. A report or call by which the backend server departs is acknowledged only once the departure is stored for
// later processes of this node.
//
// If backend servers make no reports, the one in the settings counts as ready from the start.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "servers/registration/backendtracker.h"

#include <chrono>
#include <tuple>
#include <utility>

namespace fescuepond
{

namespace
{

/// Interval of the check whether the backend server has stopped sending reports.
constexpr Duration SilenceCheckInterval = std::chrono::seconds(1);

class RegistrationPlugin final : public Plugin, public BackendStatus, public BackendReports
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_advertiser = &kernel.require<ServingAdvertiser>();
        m_departures = &kernel.require<DepartureStore>();
        kernel.provide<BackendStatus>(*this);
        kernel.provide<BackendReports>(*this);
        const NodeSettings &settings = kernel.settings();
        const BackendTimeouts timeouts =
            BackendTimeouts::from(std::chrono::duration_cast<Duration>(settings.backendDrain()),
                                  std::chrono::duration_cast<Duration>(settings.backendReportInterval()));
        m_hasReports = settings.backendReports();
        m_table.locked([&](Table &table) {
            table.m_tracker = table.m_tracker.withTimeouts(timeouts)
                                  .withAwaitsDepartures(m_hasReports)
                                  .withProcessStartedAtMs(wallClockMs());
        });
        if (!m_hasReports) {
            m_advertiser->setServing(true, slots());
            return {};
        }
        kernel.timers().every(SilenceCheckInterval, [this] {
            publishState();
        });
        m_departures->onRecovered([this](const Departures &earlier) {
            recovered(earlier);
        });
        return {};
    }

    void report(const BackendReport &report, Acknowledge acknowledge) override
    {
        const TimePoint now = m_kernel->clock().now();
        apply(report.instance(), report.sequence(), [&](const BackendTracker &known) {
            return afterReport(known, report, m_kernel->settings().service(), now);
        });
        if (report.state() == BackendState::Draining) {
            keepDepartures(acknowledgeOnceStored(report.instance(), std::move(acknowledge)));
        } else {
            acknowledge(true);
        }
    }

    void deregister(const std::string &instance, Acknowledge acknowledge) override
    {
        const TimePoint now = m_kernel->clock().now();
        apply(instance, 0, [&](const BackendTracker &known) {
            return afterDeregistration(known, instance, now, wallClockMs());
        });
        keepDepartures(acknowledgeOnceStored(instance, std::move(acknowledge)));
    }

    void answered(const std::string &instance, const BackendNotice &notice, TimePoint sentAt) override
    {
        const TimePoint now = m_kernel->clock().now();
        applyNotice("answer", [&](const BackendTracker &known) {
            return afterAnswer(known, instance, notice, sentAt, now);
        });
    }

    void noticeReceived(const BackendNotice &notice) override
    {
        const TimePoint now = m_kernel->clock().now();
        applyNotice("node", [&](const BackendTracker &known) {
            return afterReceivedNotice(known, notice, now);
        });
    }

    BackendNotice notice() const override
    {
        return m_table.locked([](const Table &table) {
            return table.m_tracker.notice();
        });
    }

    bool acceptsCalls() const override
    {
        return !m_hasReports || m_table.locked([now = m_kernel->clock().now()](const Table &table) {
            return table.m_tracker.acceptsCalls(now);
        });
    }
    bool canStart() const override
    {
        return !m_hasReports || m_table.locked([now = m_kernel->clock().now()](const Table &table) {
            return table.m_tracker.canStart(now);
        });
    }
    std::string instance() const override
    {
        return m_table.locked([](const Table &table) {
            return table.m_tracker.report().instance();
        });
    }
    std::uint32_t slots() const override
    {
        const std::uint32_t reported = m_table.locked([](const Table &table) {
            return table.m_tracker.report().slots();
        });
        return reported > 0 ? reported : static_cast<std::uint32_t>(m_kernel->settings().backendSlots());
    }
    BackendState state() const override
    {
        if (!m_hasReports) {
            return BackendState::Ready;
        }
        return m_table.locked([now = m_kernel->clock().now()](const Table &table) {
            return table.m_tracker.state(now);
        });
    }

private:
    struct Table {
        BackendTracker m_tracker;
        BackendState m_publishedState = BackendState::Unknown; ///< The state published last.
        std::string m_publishedInstance;
    };

    template<typename Decide>
    void apply(const std::string &instance, std::uint64_t sequence, const Decide &decide)
    {
        const ReportVerdict verdict = m_table.locked([&](Table &table) {
            const TrackerUpdate update = decide(table.m_tracker);
            table.m_tracker = update.tracker;
            return update.verdict;
        });
        m_kernel->metrics().count("fescuepond_backend_reports_total", {{"verdict", toString(verdict)}});
        if (verdict != ReportVerdict::Accepted) {
            Event("backend_report_ignored")
                .with("instance", instance)
                .with("sequence", sequence)
                .with("verdict", toString(verdict));
        }
        publishState();
    }

    void keepDepartures(DepartureStore::Stored stored)
    {
        if (m_hasReports) {
            m_departures->keep(departures(), std::move(stored));
        } else if (stored) {
            stored(true);
        }
    }

    DepartureStore::Stored acknowledgeOnceStored(std::string instance, Acknowledge acknowledge) const
    {
        return [this, instance = std::move(instance), acknowledge = std::move(acknowledge)](bool isStored) {
            m_kernel->metrics().count("fescuepond_backend_departures_total", {{"stored", isStored ? "yes" : "no"}});
            Event("backend_departure").with("instance", instance).with("stored", isStored);
            acknowledge(isStored);
        };
    }

    void recovered(const Departures &earlier)
    {
        const TimePoint now = m_kernel->clock().now();
        m_table.locked([&](Table &table) {
            table.m_tracker = afterRecovery(table.m_tracker, earlier, now);
        });
        Event("backend_departures_recovered").with("count", earlier.size());
        keepDepartures(nullptr);
        publishState();
    }

    Departures departures() const
    {
        return m_table.locked([](const Table &table) {
            return departuresIn(table.m_tracker.departures());
        });
    }

    template<typename Decide>
    void applyNotice(const char *source, const Decide &decide)
    {
        const auto [before, after, hasDeparture] = m_table.locked([&](Table &table) {
            const BackendNotice known = table.m_tracker.notice();
            BackendTracker next = decide(table.m_tracker);
            const bool isDepartureNew = next.departures() != table.m_tracker.departures();
            table.m_tracker = std::move(next);
            return std::tuple(known, table.m_tracker.notice(), isDepartureNew);
        });
        if (hasDeparture) {
            keepDepartures(nullptr);
        }
        if (before == after) {
            return;
        }
        Event("backend_notice")
            .with("source", source)
            .with("rate", after.rate())
            .with("leaving", after.leavingInstance());
        publishState();
    }

    void publishState()
    {
        const TimePoint now = m_kernel->clock().now();
        const auto changed = m_table.locked([&](Table &table) -> std::optional<BackendTracker> {
            const BackendState state = table.m_tracker.state(now);
            const std::string &instance = table.m_tracker.report().instance();
            if (state == table.m_publishedState && instance == table.m_publishedInstance) {
                return std::nullopt;
            }
            table.m_publishedState = state;
            table.m_publishedInstance = instance;
            return table.m_tracker;
        });
        if (!changed) {
            return;
        }
        Event("backend_state")
            .with("instance", changed->report().instance())
            .with("state", toString(changed->state(now)))
            .with("slots", changed->report().slots())
            .with("sequence", changed->report().sequence());
        m_advertiser->setServing(changed->isServing(now), changed->report().slots());
    }

    Kernel *m_kernel = nullptr;
    ServingAdvertiser *m_advertiser = nullptr;
    DepartureStore *m_departures = nullptr;
    bool m_hasReports = false;
    SharedTable<Table> m_table{LockRank::Registration};
};

const auto registration = registerPlugin<RegistrationPlugin>("registration", {"membership"});

} // namespace

} // namespace fescuepond
