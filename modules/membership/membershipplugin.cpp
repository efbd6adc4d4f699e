// Announces this node and knows the others: writes its own record to the platform and lists all records.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/collections.h"
#include "core/pipeline/interfaces.h"
#include "modules/membership/memberencoding.h"

#include <map>

namespace fescuepond
{

namespace
{

constexpr Duration ListInterval = std::chrono::seconds(1);

std::uint64_t wallClockMs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

class MembershipPlugin final : public Plugin, public Membership
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_platform = &kernel.require<Platform>();
        const NodeSettings &settings = kernel.settings();
        const Member self = Member()
                                .withName(settings.name())
                                .withStartedAtMs(wallClockMs())
                                .withIncarnation(Incarnation::random())
                                .withService(settings.service())
                                .withZone(settings.zone())
                                .withRegion(settings.region())
                                .withPeerAddress(kernel.require<PeerMessages>().address());
        m_table.locked([&](Table &table) {
            table.m_self = self;
            table.m_members.insert_or_assign(self.name(), self);
        });
        kernel.provide<Membership>(*this);
        announce();
        list();
        kernel.timers().every(ListInterval, [this] {
            list();
        });
        return {};
    }

    void beginDrain() override
    {
        leave();
    }

    Member self() const override
    {
        return m_table.locked([](const Table &table) {
            return table.m_self;
        });
    }

    std::shared_ptr<const Members> targetsOf(const std::string &service) const override
    {
        return m_table.locked([&](const Table &table) {
            auto targets = std::make_shared<Members>();
            for (const auto &[name, member] : table.m_members) {
                if (member.service() == service && member.state() == MemberState::Alive) {
                    targets->push_back(member);
                }
            }
            return std::shared_ptr<const Members>(std::move(targets));
        });
    }

    Members all() const override
    {
        return m_table.locked([](const Table &table) {
            Members members;
            for (const auto &[name, member] : table.m_members) {
                members.push_back(member);
            }
            return members;
        });
    }

    void leave() override
    {
        m_table.locked([](Table &table) {
            table.m_self = table.m_self.withState(MemberState::Leaving).withSequence(table.m_self.sequence() + 1);
            table.m_members.insert_or_assign(table.m_self.name(), table.m_self);
        });
        announce();
    }

private:
    struct Table {
        Member m_self;
        std::map<std::string, Member> m_members; ///< By name; has m_self.
        ObjectVersion m_ownVersion = 0; ///< Of this node's object at the platform.
    };

    void announce()
    {
        const auto [self, version] = m_table.locked([](const Table &table) {
            return std::pair(table.m_self, table.m_ownVersion);
        });
        m_platform->put(collection::Nodes, self.name(), toJson(self), version, [this](const PlatformReply &reply) {
            announced(reply);
        });
    }

    void announced(const PlatformReply &reply)
    {
        if (reply.status() == PlatformStatus::Ok) {
            setOwnVersion(reply.objects().front().version());
            return;
        }
        // An object of an earlier life stands there, or an answer was lost: read its version and write again.
        m_platform->get(collection::Nodes, m_kernel->settings().name(), [this](const PlatformReply &read) {
            if (read.status() == PlatformStatus::Ok) {
                setOwnVersion(read.objects().front().version());
                announce();
            }
        });
    }

    void setOwnVersion(ObjectVersion version)
    {
        m_table.locked([&](Table &table) {
            table.m_ownVersion = version;
        });
    }

    void list()
    {
        m_platform->list(collection::Nodes, [this](const PlatformReply &reply) {
            for (const PlatformObject &object : reply.objects()) {
                merge(object);
            }
        });
    }

    void merge(const PlatformObject &object)
    {
        const auto member = memberFromJson(object.value());
        if (!member) {
            return;
        }
        m_table.locked([&](Table &table) {
            const auto found = table.m_members.find(member->name());
            const bool isOwn = member->name() == table.m_self.name();
            if (!isOwn && (found == table.m_members.end() || found->second < *member)) {
                table.m_members.insert_or_assign(member->name(), *member);
            }
        });
    }

    Kernel *m_kernel = nullptr;
    Platform *m_platform = nullptr;
    SharedTable<Table> m_table{LockRank::Members};
};

const auto registration = registerPlugin<MembershipPlugin>("membership", {"platform", "peer"});

} // namespace

} // namespace fescuepond
