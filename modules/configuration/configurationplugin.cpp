// Keeps the configuration in force and exchanges it with other nodes. The version never decreases.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/kernel/strategy.h"
#include "core/pipeline/configurationformat.h"
#include "modules/configuration/configurationexchange.h"
#include "modules/configuration/exchangeencoding.h"
#include "servers/configuration/follower.h"

#include <optional>

namespace fescuepond
{

namespace
{

/// Where a text came from, for the log, if not from a peer.
constexpr const char *PlatformSource = "platform";
/// Long enough for a peer to send a new version of up to 1 MB.
constexpr Duration ExchangeTimeout = std::chrono::seconds(2);

class ConfigurationPlugin final : public Plugin, public ConfigurationSource, public ConfigurationExchange
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        BOOST_LEAF_ASSIGN(m_format, makeStrategy<ConfigurationFormat>(kernel.settings().environment()));
        m_store = &kernel.require<ObjectStore>();
        m_messages = &kernel.require<PeerMessages>();
        m_messages->setHandler(PeerTopic::Configuration, [this](const std::string &request, const PeerReply &reply) {
            handleExchangeRequest(request, reply);
        });
        kernel.provide<ConfigurationSource>(*this);
        kernel.provide<ConfigurationExchange>(*this);
        kernel.metrics().gauge("fescuepond_configuration_version", {}, [this] {
            return static_cast<double>(version());
        });
        kernel.metrics().gauge("fescuepond_configuration_warnings", {}, [this] {
            const auto inForce = configuration();
            return inForce ? static_cast<double>(inForce->warnings().size()) : 0;
        });
        return {};
    }

    std::shared_ptr<const Configuration> configuration() const override
    {
        return m_table.locked([](const Table &table) {
            return table.m_configuration;
        });
    }

    std::string configurationText(ConfigurationVersion version) const override
    {
        return m_table.locked([&](const Table &table) {
            return table.m_follower.heldVersion() == version ? table.m_text : std::string();
        });
    }

    void versionSeen(const Member &member, ConfigurationVersion version) override
    {
        pullIfNewer(member.peerAddress(), version);
    }

    const ConfigurationFormat &format() const override
    {
        return *m_format;
    }

    ConfigurationVersion version() const override
    {
        return m_table.locked([](const Table &table) {
            return table.m_follower.heldVersion();
        });
    }

    void offer(const StoredObject &object) override
    {
        const bool isInForce = m_table.locked([&](const Table &table) {
            return table.m_text == object.value();
        });
        if (!isInForce) {
            readAndInstall(object.value(), PlatformSource);
        }
    }

    void exchangeWith(const std::string &address) override
    {
        ask(address, ownRequest(), [this, address](const std::optional<std::string> &reply) {
            if (reply) {
                handleExchangeReply(address, reply);
                return;
            }
            // The connection may have gone silent while it was idle; a second request opens another one.
            ask(address, ownRequest(), [this, address](const std::optional<std::string> &second) {
                handleExchangeReply(address, second);
            });
        });
    }

    void requestStandIn(const std::string &address) override
    {
        ask(address, ownRequest().withAsksForStandIn(true), [this, address](const std::optional<std::string> &reply) {
            handleExchangeReply(address, reply);
        });
    }

    void setStandInHandler(std::function<void()> handler) override
    {
        m_table.locked([&](Table &table) {
            table.m_standInHandler = std::move(handler);
        });
    }

    void setInstalledHandler(std::function<void()> handler) override
    {
        m_table.locked([&](Table &table) {
            table.m_installedHandler = std::move(handler);
        });
    }

private:
    struct Table {
        FollowerState m_follower; ///< Its version in force never decreases.
        std::shared_ptr<const Configuration> m_configuration; ///< The version in force; null: none is known.
        std::string m_text; ///< Published text of the version in force.
        std::function<void()> m_installedHandler; ///< Called after each installed version.
        std::function<void()> m_standInHandler; ///< Called if another node asks for a stand-in.
    };

    ExchangeRequest ownRequest() const
    {
        return ExchangeRequest().withVersion(version()).withAddress(m_messages->address()).withStoreEra(m_store->era());
    }

    void ask(const std::string &address, const ExchangeRequest &request, PeerReply reply)
    {
        m_messages->ask(address, PeerTopic::Configuration, toJson(request), ExchangeTimeout, std::move(reply));
    }

    /// Asks the node at `address` for its configuration if `version` is newer than the one in force and not being
    /// pulled already.
    void pullIfNewer(const std::string &address, ConfigurationVersion version)
    {
        const bool shouldPull = m_table.locked([&](Table &table) {
            const FollowerStep step = fescuepond::observeVersion(table.m_follower, version, m_kernel->clock().now());
            table.m_follower = step.state();
            return step.shouldPull();
        });
        if (!shouldPull) {
            return;
        }
        ask(address, ownRequest(), [this, address, version](const std::optional<std::string> &reply) {
            m_table.locked([&](Table &table) {
                table.m_follower = finishPull(table.m_follower, version);
            });
            handleExchangeReply(address, reply);
        });
    }

    void handleExchangeRequest(const std::string &text, const PeerReply &reply)
    {
        const auto request = exchangeRequestFromJson(text);
        if (!request) {
            reply(std::nullopt);
            return;
        }
        const auto answer = m_table.locked([&](const Table &table) {
            const ConfigurationVersion heldVersion = table.m_follower.heldVersion();
            const bool isNewer = heldVersion > request->version();
            return ExchangeReply().withVersion(heldVersion).withText(isNewer ? table.m_text : std::string());
        });
        m_store->eraSeen(request->storeEra());
        reply(toJson(answer.withStoreEra(m_store->era())));
        if (request->asksForStandIn()) {
            const auto handler = m_table.locked([](const Table &table) {
                return table.m_standInHandler;
            });
            if (handler) {
                handler();
            }
        }
        pullIfNewer(request->address(), request->version());
    }

    void handleExchangeReply(const std::string &address, const std::optional<std::string> &text)
    {
        const auto reply = text ? exchangeReplyFromJson(*text) : std::nullopt;
        m_kernel->metrics().count("fescuepond_configuration_exchanges_total",
                                  {{"outcome", reply ? "answered" : "no_answer"}});
        if (!reply) {
            return;
        }
        m_store->eraSeen(reply->storeEra());
        if (!reply->text().empty() && reply->version() > version()) {
            readAndInstall(reply->text(), address);
        }
    }

    /// Parses a text and installs it if its version is newer than the one in force. `source`, for the log, is the peer
    /// address or "platform".
    void readAndInstall(const std::string &text, const std::string &source)
    {
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(read, m_format->read(text));
                install(std::make_shared<const Configuration>(std::move(read)), text, source);
                return {};
            },
            [&](const Findings &findings) {
                Event("configuration_invalid").with("source", source).with("findings", toString(findings));
            },
            [&] {
                Event("configuration_invalid").with("source", source);
            });
    }

    void install(std::shared_ptr<const Configuration> configuration, const std::string &text, const std::string &source)
    {
        const ConfigurationVersion version = configuration->version();
        const Findings warnings = configuration->warnings();
        std::function<void()> installed;
        ConfigurationVersion inForce = 0;
        const bool isNewer = m_table.locked([&](Table &table) {
            inForce = table.m_follower.heldVersion();
            const auto next = advanceTo(table.m_follower, version);
            if (!next) {
                return false;
            }
            table.m_follower = *next;
            table.m_configuration = std::move(configuration);
            table.m_text = text;
            installed = table.m_installedHandler;
            return true;
        });
        if (!isNewer) {
            if (version < inForce && source == PlatformSource) {
                // The platform was restored from an older copy. The configuration in force is kept.
                Event("configuration_platform_behind").with("platform_version", version).with("in_force", inForce);
                m_kernel->metrics().count("fescuepond_configuration_platform_behind_total");
            }
            return;
        }
        Event("configuration_in_force").with("version", version).with("source", source);
        if (!warnings.empty()) {
            Event("configuration_warnings").with("version", version).with("findings", toString(warnings));
        }
        if (installed) {
            installed();
        }
    }

    Kernel *m_kernel = nullptr;
    std::unique_ptr<ConfigurationFormat> m_format;
    ObjectStore *m_store = nullptr;
    PeerMessages *m_messages = nullptr;
    SharedTable<Table> m_table{LockRank::Configuration};
};

const auto registration = registerPlugin<ConfigurationPlugin>("configuration", {"peer", "store"});

} // namespace

} // namespace fescuepond
