// Provides the platform's object store to other plug-ins. Blocking calls run on the platform lane of the worker pool;
// their callbacks run on the decision lane.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <memory>
#include <vector>

namespace fescuepond
{

namespace
{

/// Each running watch blocks a thread of the platform lane. The lane has more threads than this, so that other calls
/// always find one.
constexpr std::size_t MaxConcurrentWatches = 3;

const char *toString(StoreStatus status)
{
    static constexpr std::array Names = {"ok", "not_found", "conflict", "unavailable"};
    return Names.at(static_cast<std::size_t>(status));
}

class StorePlugin final : public Plugin, public ObjectStore
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_client = connectStore(kernel.settings().platformAddress(), kernel.settings().platformTimeout());
        kernel.provide<ObjectStore>(*this);
        return {};
    }

    void stop() override
    {
        m_client->abort();
    }

    void get(std::string collection, std::string name, StoreDone done) override
    {
        run("get", std::move(done), [this, collection, name] {
            return m_client->get(collection, name);
        });
    }
    void list(std::string collection, StoreDone done) override
    {
        run("list", std::move(done), [this, collection] {
            return m_client->list(collection);
        });
    }
    void
    put(std::string collection, std::string name, std::string value, ExpectedRevision expected, StoreDone done) override
    {
        run("put", std::move(done), [this, collection, name, value = std::move(value), expected] {
            return m_client->put(collection, name, value, expected);
        });
    }
    void remove(std::string collection, std::string name, ObjectRevision expected, StoreDone done) override
    {
        run("remove", std::move(done), [this, collection, name, expected] {
            return m_client->remove(collection, name, expected);
        });
    }
    void watch(std::string collection, std::string name, Duration wait, StoreDone done) override
    {
        const auto call = [this, collection, name, wait] {
            return m_client->watch(collection, name, wait);
        };
        const auto start = [this, done = std::move(done), call] {
            const auto finished = [this, done](const StoreReply &reply) {
                startNextWatch();
                done(reply);
            };
            run("watch", finished, call);
        };
        const bool startsNow = m_watches.locked([&](Watches &watches) {
            if (watches.m_running == MaxConcurrentWatches) {
                watches.m_queued.emplace_back(start);
                return false;
            }
            ++watches.m_running;
            return true;
        });
        if (startsNow) {
            start();
        }
    }

    StoreEra era() const override
    {
        return m_client->era();
    }

    void eraSeen(StoreEra era) override
    {
        m_client->eraSeen(era);
        noticeRestore();
    }

    void onRestore(std::function<void()> handler) override
    {
        m_restores.locked([&](Restores &restores) {
            restores.m_handlers.push_back(std::move(handler));
        });
    }

    std::uint64_t callCount() const override
    {
        return m_callCount;
    }

private:
    struct Restores {
        StoreEra m_noticed = 0; ///< The latest era that the handlers know of; 0: none.
        std::vector<std::function<void()>> m_handlers; ///< Complete once the plug-ins have started.
    };
    struct Watches {
        std::size_t m_running = 0; ///< At most MaxConcurrentWatches.
        std::deque<std::function<void()>> m_queued; ///< Empty unless MaxConcurrentWatches are running.
    };

    /// Calls the handlers if the store was seen in a later era than before.
    void noticeRestore()
    {
        const StoreEra era = m_client->era();
        const auto handlers = m_restores.locked([&](Restores &restores) {
            const bool isRestored = restores.m_noticed != 0 && restores.m_noticed < era;
            restores.m_noticed = std::max(restores.m_noticed, era);
            return isRestored ? restores.m_handlers : decltype(restores.m_handlers)();
        });
        if (handlers.empty()) {
            return;
        }
        Event("store_restored").with("era", era);
        m_kernel->metrics().count("fescuepond_store_restores_total");
        for (const auto &handler : handlers) {
            handler();
        }
    }

    /// Called when a watch has finished: starts the watch that was queued first.
    void startNextWatch()
    {
        const auto next = m_watches.locked([](Watches &watches) -> std::function<void()> {
            if (watches.m_queued.empty()) {
                --watches.m_running;
                return nullptr;
            }
            auto first = std::move(watches.m_queued.front());
            watches.m_queued.pop_front();
            return first;
        });
        if (next) {
            next();
        }
    }

    void run(const char *operation, StoreDone done, std::function<StoreReply()> call)
    {
        m_kernel->pool().post(Lane::Platform, [this, operation, done = std::move(done), call = std::move(call)] {
            ++m_callCount;
            const TimePoint begin = m_kernel->clock().now();
            const StoreReply reply = call();
            noticeRestore();
            const Labels labels = {{"operation", operation}, {"outcome", toString(reply.status())}};
            m_kernel->metrics().count("fescuepond_platform_calls_total", labels);
            m_kernel->metrics().observe(
                "fescuepond_platform_call_seconds", {{"operation", operation}}, m_kernel->clock().now() - begin);
            m_kernel->pool().post(Lane::Decision, [done, reply] {
                done(reply);
            });
        });
    }

    Kernel *m_kernel = nullptr;
    std::unique_ptr<StoreConnection> m_client;
    std::atomic<std::uint64_t> m_callCount = 0;
    SharedTable<Watches> m_watches{LockRank::Platform};
    SharedTable<Restores> m_restores{LockRank::Platform};
};

const auto registration = registerPlugin<StorePlugin>("store", {});

} // namespace

} // namespace fescuepond
