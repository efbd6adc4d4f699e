// Keeps the configuration that is in force: watches the platform and moves only forward in its version order.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/collections.h"
#include "core/pipeline/interfaces.h"
#include "modules/declarations/declarationreader.h"

namespace fescuepond
{

namespace
{

constexpr Duration WatchTime = std::chrono::seconds(5);
constexpr Duration RetryPause = std::chrono::seconds(1);

class ConfigurationPlugin final : public Plugin, public ConfigurationSource
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_platform = &kernel.require<Platform>();
        kernel.provide<ConfigurationSource>(*this);
        kernel.metrics().gauge("fescuepond_configuration_version", {}, [this] {
            return static_cast<double>(version());
        });
        watch();
        return {};
    }

    std::shared_ptr<const Configuration> configuration() const override
    {
        return m_table.locked([](const Table &table) {
            return table.m_configuration;
        });
    }

    std::string configurationText(ObjectVersion version) const override
    {
        return m_table.locked([&](const Table &table) {
            const bool isHeld = table.m_configuration && table.m_configuration->version() == version;
            return isHeld ? table.m_text : std::string();
        });
    }

    void versionSeen(const Member &, ObjectVersion) override
    {
    }

private:
    struct Table {
        std::shared_ptr<const Configuration> m_configuration; ///< Its version never falls.
        std::string m_text;
    };

    ObjectVersion version() const
    {
        const auto current = configuration();
        return current ? current->version() : 0;
    }

    void watch()
    {
        m_platform->watch(collection::Configuration,
                          collection::CurrentConfiguration,
                          version(),
                          WatchTime,
                          [this](const PlatformReply &reply) {
                              watched(reply);
                          });
    }

    void watched(const PlatformReply &reply)
    {
        if (reply.status() == PlatformStatus::Ok) {
            take(reply.objects().front());
        }
        if (reply.status() == PlatformStatus::Unavailable) {
            m_kernel->timers().once(m_kernel->clock().now() + RetryPause, [this] {
                watch();
            });
            return;
        }
        watch();
    }

    void take(const PlatformObject &object)
    {
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(read, readConfiguration(object.value(), object.version()));
                install(std::make_shared<const Configuration>(std::move(read)), object.value());
                return {};
            },
            [&](const Findings &findings) {
                Event("configuration_invalid").with("version", object.version()).with("findings", toString(findings));
            },
            [&] {
                Event("configuration_invalid").with("version", object.version());
            });
    }

    void install(std::shared_ptr<const Configuration> configuration, const std::string &text)
    {
        const ObjectVersion version = configuration->version();
        const bool isNewer = m_table.locked([&](Table &table) {
            if (table.m_configuration && table.m_configuration->version() >= version) {
                return false;
            }
            table.m_configuration = std::move(configuration);
            table.m_text = text;
            return true;
        });
        if (isNewer) {
            Event("configuration_in_force").with("version", version);
        }
    }

    Kernel *m_kernel = nullptr;
    Platform *m_platform = nullptr;
    SharedTable<Table> m_table{LockRank::Configuration};
};

const auto registration = registerPlugin<ConfigurationPlugin>("configuration", {"platform"});

} // namespace

} // namespace fescuepond
