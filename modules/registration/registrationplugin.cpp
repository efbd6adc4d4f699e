// Keeps what the backend server of this VM says of itself, and tells the fleet whether it takes work.
//
// Where backend servers make no reports, the one in the settings is taken as ready from the start.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "servers/registration/backendregister.h"

#include <chrono>

namespace fescuepond
{

namespace
{

/// How often a backend server that has gone silent is looked for.
constexpr Duration SilenceCheckInterval = std::chrono::seconds(1);

class RegistrationPlugin final : public Plugin, public BackendStatus, public BackendReports
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_switch = &kernel.require<ServingSwitch>();
        kernel.provide<BackendStatus>(*this);
        kernel.provide<BackendReports>(*this);
        const NodeSettings &settings = kernel.settings();
        const BackendTimes times =
            BackendTimes::from(std::chrono::duration_cast<Duration>(settings.backendDrain()),
                               std::chrono::duration_cast<Duration>(settings.backendReportInterval()));
        m_table.locked([&](Table &table) {
            table.m_register = table.m_register.withTimes(times);
        });
        m_makesReports = settings.backendReports();
        if (!m_makesReports) {
            m_switch->setServing(true, slots());
            return {};
        }
        kernel.timers().every(SilenceCheckInterval, [this] {
            tellFleet();
        });
        return {};
    }

    void report(const BackendReport &report) override
    {
        const TimePoint now = m_kernel->clock().now();
        take(report.instance(), report.sequence(), [&](const BackendRegister &known) {
            return afterReport(known, report, m_kernel->settings().service(), now);
        });
    }

    void leaves(const std::string &instance) override
    {
        const TimePoint now = m_kernel->clock().now();
        take(instance, 0, [&](const BackendRegister &known) {
            return afterLeave(known, instance, now);
        });
    }

    bool mayArrive() const override
    {
        return !m_makesReports || m_table.locked([now = m_kernel->clock().now()](const Table &table) {
            return table.m_register.mayArrive(now);
        });
    }
    bool mayBegin() const override
    {
        return !m_makesReports || m_table.locked([now = m_kernel->clock().now()](const Table &table) {
            return table.m_register.mayBegin(now);
        });
    }
    std::string instance() const override
    {
        return m_table.locked([](const Table &table) {
            return table.m_register.report().instance();
        });
    }
    std::uint32_t slots() const override
    {
        const std::uint32_t reported = m_table.locked([](const Table &table) {
            return table.m_register.report().slots();
        });
        return reported > 0 ? reported : static_cast<std::uint32_t>(m_kernel->settings().backendSlots());
    }
    BackendState state() const override
    {
        if (!m_makesReports) {
            return BackendState::Ready;
        }
        return m_table.locked([now = m_kernel->clock().now()](const Table &table) {
            return table.m_register.state(now);
        });
    }

private:
    struct Table {
        BackendRegister m_register;
        BackendState m_toldState = BackendState::Unknown; ///< The state that the fleet was told last.
        std::string m_toldInstance;
    };

    template<typename Decide>
    void take(const std::string &instance, std::uint64_t sequence, const Decide &decide)
    {
        const ReportVerdict verdict = m_table.locked([&](Table &table) {
            const RegisterStep step = decide(table.m_register);
            table.m_register = step.state;
            return step.verdict;
        });
        m_kernel->metrics().count("fescuepond_backend_reports_total", {{"verdict", toString(verdict)}});
        if (verdict != ReportVerdict::Taken) {
            Event("backend_report_ignored")
                .with("instance", instance)
                .with("sequence", sequence)
                .with("verdict", toString(verdict));
            return;
        }
        tellFleet();
    }

    void tellFleet()
    {
        const TimePoint now = m_kernel->clock().now();
        const auto changed = m_table.locked([&](Table &table) -> std::optional<BackendRegister> {
            const BackendState state = table.m_register.state(now);
            const std::string &instance = table.m_register.report().instance();
            if (state == table.m_toldState && instance == table.m_toldInstance) {
                return std::nullopt;
            }
            table.m_toldState = state;
            table.m_toldInstance = instance;
            return table.m_register;
        });
        if (!changed) {
            return;
        }
        Event("backend_state")
            .with("instance", changed->report().instance())
            .with("state", toString(changed->state(now)))
            .with("slots", changed->report().slots())
            .with("sequence", changed->report().sequence());
        m_switch->setServing(changed->isServing(now), changed->report().slots());
    }

    Kernel *m_kernel = nullptr;
    ServingSwitch *m_switch = nullptr;
    bool m_makesReports = false;
    SharedTable<Table> m_table{LockRank::Registration};
};

const auto registration = registerPlugin<RegistrationPlugin>("registration", {"membership"});

} // namespace

} // namespace fescuepond
