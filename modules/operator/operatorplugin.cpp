// The operator listener: serves the node's status (JSON), its metrics (Prometheus text format) and the drain command.

#include "core/kernel/kernel.h"
#include "core/pipeline/callsinflight.h"
#include "core/pipeline/interfaces.h"
#include "modules/http/httplistener.h"
#include "modules/operator/resourceusage.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <array>
#include <memory>
#include <sstream>

namespace fescuepond
{

namespace
{

class OperatorPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_membership = &kernel.require<Membership>();
        m_source = &kernel.require<ConfigurationSource>();
        m_calls = &kernel.require<CallsInFlight>();
        m_platform = &kernel.require<ObjectStore>();
        registerUsageGauges();
        m_listener = std::make_unique<HttpListener>(
            kernel, "operator", [this](const HttpRequest &request, const HttpResponder &respond) {
                respond(handle(request));
            });
        return m_listener->start(kernel.settings().operatorAddress());
    }
    void stop() override
    {
        m_listener->stop();
    }

private:
    struct Endpoint {
        std::string_view m_method;
        std::string_view m_target;
        HttpResponse (OperatorPlugin::*m_handler)();
    };

    void registerUsageGauges()
    {
        m_kernel->metrics().gauge("fescuepond_processor_seconds", {}, [] {
            return measureResourceUsage().processorSeconds();
        });
        m_kernel->metrics().gauge("fescuepond_resident_bytes", {}, [] {
            return static_cast<double>(measureResourceUsage().residentBytes());
        });
    }

    HttpResponse handle(const HttpRequest &request)
    {
        static constexpr std::array Endpoints = {
            Endpoint{"GET", "/status", &OperatorPlugin::status},
            Endpoint{"GET", "/metrics", &OperatorPlugin::metrics},
            Endpoint{"POST", "/drain", &OperatorPlugin::drain},
        };
        for (const Endpoint &endpoint : Endpoints) {
            if (request.method() == endpoint.m_method && request.target() == endpoint.m_target) {
                return (this->*endpoint.m_handler)();
            }
        }
        return HttpResponse(404, "text/plain", "no such page: " + request.method() + " " + request.target() + "\n");
    }

    HttpResponse status()
    {
        const Member self = m_membership->self();
        const auto configuration = m_source->configuration();
        Poco::JSON::Object object;
        object.set("name", self.name());
        object.set("incarnation", self.incarnation().toString());
        object.set("service", self.service());
        object.set("zone", self.zone());
        object.set("state", toString(self.state()));
        object.set("configuration_version", configuration ? configuration->version() : 0);
        object.set("calls_in_flight", m_calls->size());
        const ResourceUsage usage = measureResourceUsage();
        object.set("processor_seconds", usage.processorSeconds());
        object.set("resident_bytes", usage.residentBytes());
        object.set("platform_calls", m_platform->callCount());
        Poco::JSON::Array members;
        for (const Member &member : m_membership->all()) {
            Poco::JSON::Object row;
            row.set("name", member.name());
            row.set("service", member.service());
            row.set("zone", member.zone());
            row.set("state", toString(member.state()));
            row.set("peer_address", member.peerAddress());
            members.add(row);
        }
        object.set("members", members);
        std::ostringstream text;
        object.stringify(text, 2);
        text << '\n';
        return HttpResponse(200, "application/json", text.str());
    }

    HttpResponse metrics()
    {
        return HttpResponse(200, "text/plain; version=0.0.4", m_kernel->metrics().render());
    }

    HttpResponse drain()
    {
        m_kernel->requestStop();
        return HttpResponse(202, "text/plain", "draining\n");
    }

    Kernel *m_kernel = nullptr;
    Membership *m_membership = nullptr;
    ConfigurationSource *m_source = nullptr;
    ObjectStore *m_platform = nullptr;
    CallsInFlight *m_calls = nullptr;
    std::unique_ptr<HttpListener> m_listener;
};

const auto registration =
    registerPlugin<OperatorPlugin>("operator", {"membership", "configuration", "pipelines", "store"});

} // namespace

} // namespace fescuepond
