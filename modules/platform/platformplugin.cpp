// Provides the platform's object API to other plug-ins, on the pool's platform lane.

#include "core/kernel/kernel.h"
#include "core/pipeline/interfaces.h"
#include "modules/platform/platformclient.h"

#include <memory>

namespace fescuepond
{

namespace
{

class PlatformPlugin final : public Plugin, public Platform
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_client =
            std::make_unique<PlatformClient>(kernel.settings().platformAddress(), kernel.settings().platformTimeout());
        kernel.provide<Platform>(*this);
        return {};
    }

    void get(std::string collection, std::string name, PlatformDone done) override
    {
        run("get", std::move(done), [this, collection, name] {
            return m_client->get(collection, name);
        });
    }
    void list(std::string collection, PlatformDone done) override
    {
        run("list", std::move(done), [this, collection] {
            return m_client->list(collection);
        });
    }
    void
    put(std::string collection, std::string name, std::string value, ObjectVersion expected, PlatformDone done) override
    {
        run("put", std::move(done), [this, collection, name, value = std::move(value), expected] {
            return m_client->put(collection, name, value, expected);
        });
    }
    void remove(std::string collection, std::string name, ObjectVersion expected, PlatformDone done) override
    {
        run("remove", std::move(done), [this, collection, name, expected] {
            return m_client->remove(collection, name, expected);
        });
    }
    void watch(std::string collection, std::string name, ObjectVersion known, Duration wait, PlatformDone done) override
    {
        run("watch", std::move(done), [this, collection, name, known, wait] {
            return m_client->watch(collection, name, known, wait);
        });
    }

private:
    void run(const char *operation, PlatformDone done, std::function<PlatformReply()> call)
    {
        m_kernel->metrics().count("fescuepond_platform_calls_total", {{"operation", operation}});
        m_kernel->pool().post(Lane::Platform, [this, done = std::move(done), call = std::move(call)] {
            const PlatformReply reply = call();
            m_kernel->pool().post(Lane::Decision, [done, reply] {
                done(reply);
            });
        });
    }

    Kernel *m_kernel = nullptr;
    std::unique_ptr<PlatformClient> m_client;
};

const auto registration = registerPlugin<PlatformPlugin>("platform", {});

} // namespace

} // namespace fescuepond
