// Readiness probe: responds 200 if the node has a configuration and isn't draining, 503 otherwise.

#include "core/kernel/kernel.h"
#include "core/pipeline/interfaces.h"
#include "modules/http/httplistener.h"

#include <memory>

namespace fescuepond
{

namespace
{

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

class ReadinessPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_configuration = &kernel.require<ConfigurationSource>();
        m_listener = std::make_unique<HttpListener>(
            kernel, "readiness", [this](const HttpRequest &, const HttpResponder &respond) {
                respond(isReady() ? HttpResponse(StatusOk, "text/plain", "ready\n")
                                  : HttpResponse(StatusUnavailable, "text/plain", "not ready\n"));
            });
        const std::string &address = kernel.settings().readinessAddress();
        return address.empty() ? Result<void>() : m_listener->start(address);
    }
    void stop() override
    {
        m_listener->stop();
    }

private:
    bool isReady() const
    {
        return m_configuration->configuration() != nullptr && !m_kernel->isDraining();
    }

    Kernel *m_kernel = nullptr;
    ConfigurationSource *m_configuration = nullptr;
    std::unique_ptr<HttpListener> m_listener;
};

const auto registration = registerPlugin<ReadinessPlugin>("readiness", {"configuration"});

} // namespace

} // namespace fescuepond
