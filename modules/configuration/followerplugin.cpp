// Follows the published configuration: a few nodes of each zone watch the platform. A node that installs a new version
// notifies some peers at once, and every node regularly compares versions with a random peer.

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

/// Time-out of a watch: a lost connection is noticed after this time. It also limits a watcher to six calls a minute.
constexpr Duration WatchTimeout = std::chrono::seconds(10);
/// Until then a node that has just started knows no other member and would choose itself as a watcher.
constexpr Duration FirstWatchDelay = std::chrono::seconds(1);
/// One call in six is a plain read instead of a watch: a watch doesn't return a version older than the one in force.
constexpr unsigned WatchesPerRead = 6;
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
        unsigned m_watches = 0; ///< Watches and plain reads since the node started.
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

    /// Watches the platform if this node is a watcher; otherwise checks again later whether it has become one.
    void watchOrWait()
    {
        const bool isChosen = isWatcher(m_membership->all(), m_membership->self());
        const unsigned watches = m_table.locked([&](Table &table) {
            table.m_isWatching = isChosen;
            return isChosen ? ++table.m_watches : table.m_watches;
        });
        if (!isChosen) {
            runAfter(ExchangeInterval, [this] {
                watchOrWait();
            });
            return;
        }
        const auto done = [this](const StoreReply &reply) {
            handleWatchReply(reply);
        };
        const ConfigurationFormat &format = m_exchange->format();
        if (watches % WatchesPerRead == 0) {
            m_platform->get(format.collection(), format.object(), done);
            return;
        }
        m_platform->watch(format.collection(), format.object(), m_exchange->version(), WatchTimeout, done);
    }

    void handleWatchReply(const StoreReply &reply)
    {
        const bool hasFailed = reply.status() == StoreStatus::Unavailable;
        const unsigned failures = m_table.locked([&](Table &table) {
            table.m_watchFailures = hasFailed ? table.m_watchFailures + 1 : 0;
            return table.m_watchFailures;
        });
        if (hasFailed) {
            runAfter(retryDelay(failures, randomWord()), [this] {
                watchOrWait();
            });
            return;
        }
        if (reply.status() == StoreStatus::Ok) {
            m_exchange->offer(reply.objects().front());
        }
        watchUnlessRejected(reply);
    }

    /// Starts the next watch, with a pause if the version read is newer than the one in force, which means that this
    /// node found it invalid: the platform answers such a watch at once, and without the pause this would be a tight
    /// loop.
    void watchUnlessRejected(const StoreReply &reply)
    {
        const bool isRejected =
            reply.status() == StoreStatus::Ok && m_exchange->version() < reply.objects().front().version();
        if (!isRejected) {
            watchOrWait();
            return;
        }
        runAfter(WatchTimeout, [this] {
            watchOrWait();
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
    SharedTable<Table> m_table{LockRank::Configuration};
};

const auto registration =
    registerPlugin<ConfigurationFollowerPlugin>("configurationfollower", {"configuration", "membership", "store"});

} // namespace

} // namespace fescuepond
