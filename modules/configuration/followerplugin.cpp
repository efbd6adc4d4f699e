// Follows the published configuration: a few nodes of each zone watch the platform. A node that installs a new version
// notifies some peers at once, and every node regularly compares versions with a random peer. A watcher that can't
// reach the platform asks another node of its zone to stand in.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/random.h"
#include "core/kernel/sharedtable.h"
#include "modules/configuration/configurationexchange.h"
#include "servers/configuration/follower.h"

#include <optional>

namespace fescuepond
{

namespace
{

/// Until then a node that has just started knows no other member and would choose itself as a watcher.
constexpr Duration FirstWatchDelay = std::chrono::seconds(1);
/// A plain read takes the place of a watch after this time, in case a change was missed.
constexpr Duration PlainReadInterval = std::chrono::seconds(60);
/// For how long a node stands in for a watcher that can't reach the platform, since it was asked last. Longer than the
/// longest pause between a watcher's attempts.
constexpr Duration StandInTime = std::chrono::seconds(15);
/// How often a node compares its version with a peer's.
constexpr Duration ExchangeInterval = std::chrono::seconds(3);
/// The same interval for a node that has no configuration yet.
constexpr Duration InitialExchangeInterval = std::chrono::milliseconds(500);
constexpr std::size_t PeersPerExchange = 1;
/// Peers notified of a new version at once. Each of them notifies as many, so that it spreads exponentially.
constexpr std::size_t PeersToNotify = 4;

class ConfigurationFollowerPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_platform = &kernel.require<ObjectStore>();
        m_membership = &kernel.require<Membership>();
        m_exchange = &kernel.require<ConfigurationExchange>();
        m_exchange->setInstalledHandler([this] {
            exchangeWithPeers(PeersToNotify);
        });
        m_exchange->setStandInHandler([this] {
            standIn();
        });
        const NodeSettings &settings = kernel.settings();
        m_bounds = FollowBounds()
                       .withChangeBound(std::chrono::duration_cast<Duration>(settings.changeBound()))
                       .withRecoveryTime(std::chrono::duration_cast<Duration>(settings.recoveryTime()))
                       .withCallTimeout(std::chrono::duration_cast<Duration>(settings.platformTimeout()));
        m_platform->onRestore([this] {
            handleRestore();
        });
        kernel.metrics().gauge("fescuepond_configuration_watcher", {}, [this] {
            return isWatching() ? 1.0 : 0.0;
        });
        readInitialConfiguration();
        runAfter(FirstWatchDelay, [this] {
            watchOrWait();
        });
        exchangeWithPeers(PeersToNotify);
        scheduleExchange();
        return {};
    }

private:
    struct Table {
        bool m_isWatching = false;
        TimePoint m_plainReadAt; ///< When the latest plain read began, or the first watch.
        TimePoint m_standsInUntil; ///< Watches until then although it isn't a watcher.
        unsigned m_watchFailures = 0; ///< Consecutive.
        unsigned m_initialReadFailures = 0; ///< Consecutive.
    };

    bool isWatching() const
    {
        return m_table.locked([](const Table &table) {
            return table.m_isWatching;
        });
    }

    void runAfter(Duration pause, TimerService::Callback callback)
    {
        m_kernel->timers().once(m_kernel->clock().now() + pause, std::move(callback));
    }

    /// Fetches the configuration from the platform's object store, and retries until this node has one. A peer may
    /// deliver it first.
    void readInitialConfiguration()
    {
        if (m_exchange->version() > 0) {
            return;
        }
        const ConfigurationFormat &format = m_exchange->format();
        m_platform->get(format.collection(), format.object(), [this](const StoreReply &reply) {
            if (reply.status() == StoreStatus::Ok) {
                m_exchange->offer(reply.objects().front());
                return;
            }
            const unsigned failures = m_table.locked([](Table &table) {
                return ++table.m_initialReadFailures;
            });
            runAfter(retryDelay(failures, randomWord()), [this] {
                readInitialConfiguration();
            });
        });
    }

    /// Watches the platform if this node is a watcher or stands in for one; otherwise checks again later.
    void watchOrWait()
    {
        const WatcherRole role = watcherRole(m_membership->all(), m_membership->self());
        const TimePoint now = m_kernel->clock().now();
        const bool mustWatch = m_table.locked([&](Table &table) {
            table.m_isWatching = role != WatcherRole::None || now < table.m_standsInUntil;
            return table.m_isWatching;
        });
        if (!mustWatch) {
            runAfter(ExchangeInterval, [this] {
                watchOrWait();
            });
            return;
        }
        const auto done = [this, role](const StoreReply &reply) {
            handleWatchReply(reply, role);
        };
        const ConfigurationFormat &format = m_exchange->format();
        if (isPlainReadDue(now)) {
            m_platform->get(format.collection(), format.object(), done);
            return;
        }
        const Duration wait = role == WatcherRole::Standby ? MaxWatchWait : firstWatchWait(m_bounds);
        m_platform->watch(format.collection(), format.object(), wait, done);
    }

    bool isPlainReadDue(TimePoint now)
    {
        return m_table.locked([&](Table &table) {
            const bool isFirst = table.m_plainReadAt == TimePoint();
            const bool isDue = !isFirst && now - table.m_plainReadAt >= PlainReadInterval;
            if (isFirst || isDue) {
                table.m_plainReadAt = now;
            }
            return isDue;
        });
    }

    /// A watcher of this zone can't reach the platform.
    void standIn()
    {
        const TimePoint now = m_kernel->clock().now();
        m_table.locked([&](Table &table) {
            table.m_standsInUntil = now + StandInTime;
        });
        Event("configuration_stand_in");
    }

    /// Asks a node of this zone that isn't a watcher to stand in.
    void findStandIn()
    {
        const std::string address = chooseStandIn(m_membership->all(), m_membership->self(), randomWord());
        if (!address.empty()) {
            m_exchange->requestStandIn(address);
        }
    }

    void handleWatchReply(const StoreReply &reply, WatcherRole role)
    {
        const bool hasFailed = reply.status() == StoreStatus::Unavailable;
        const unsigned failures = m_table.locked([&](Table &table) {
            table.m_watchFailures = hasFailed ? table.m_watchFailures + 1 : 0;
            return table.m_watchFailures;
        });
        if (hasFailed) {
            // Nodes that stand in don't ask others, so that their number stays small while the platform is down.
            if (role != WatcherRole::None) {
                findStandIn();
            }
            runAfter(watchRetryDelay(failures, role, m_bounds, randomWord()), [this] {
                watchOrWait();
            });
            return;
        }
        if (reply.status() == StoreStatus::Ok) {
            m_exchange->offer(reply.objects().front());
        }
        watchOrWait();
    }

    /// Other nodes learn of the restore with the exchange. A watch that waits doesn't notice it, so a watcher reads at
    /// once.
    void handleRestore()
    {
        exchangeWithPeers(PeersToNotify);
        if (!isWatching()) {
            return;
        }
        const ConfigurationFormat &format = m_exchange->format();
        m_platform->get(format.collection(), format.object(), [this](const StoreReply &reply) {
            if (reply.status() == StoreStatus::Ok) {
                m_exchange->offer(reply.objects().front());
            }
        });
    }

    void scheduleExchange()
    {
        const Duration interval = m_exchange->version() == 0 ? InitialExchangeInterval : ExchangeInterval;
        runAfter(interval, [this] {
            exchangeWithPeers(PeersPerExchange);
            scheduleExchange();
        });
    }

    void exchangeWithPeers(std::size_t count)
    {
        const auto peers = choosePeers(
            m_membership->all(), m_membership->self(), m_kernel->settings().seedPeers(), count, randomWord());
        for (const std::string &address : peers) {
            m_exchange->exchangeWith(address);
        }
    }

    Kernel *m_kernel = nullptr;
    ObjectStore *m_platform = nullptr;
    Membership *m_membership = nullptr;
    ConfigurationExchange *m_exchange = nullptr;
    FollowBounds m_bounds;
    SharedTable<Table> m_table{LockRank::Configuration};
};

const auto registration =
    registerPlugin<ConfigurationFollowerPlugin>("configurationfollower", {"configuration", "membership", "store"});

} // namespace

} // namespace fescuepond
