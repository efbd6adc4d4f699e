// Membership of the fleet: registers this node at the platform, learns of other nodes by gossip, and announces when
// this node leaves.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/kernel/random.h"
#include "core/pipeline/interfaces.h"
#include "modules/membership/announcer.h"
#include "modules/membership/gossiper.h"

#include <array>
#include <memory>

namespace fescuepond
{

namespace
{

/// Members that a node syncs with once it has read the others' objects, so that they learn of it at once.
constexpr std::size_t InitialSyncCount = 4;

class MembershipPlugin final : public Plugin, public Membership, public ServingAdvertiser
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        const NodeSettings &settings = kernel.settings();
        const Member self = Member()
                                .withName(settings.name())
                                .withStartedAtMs(wallClockMs())
                                .withIncarnation(kernel.require<PeerMessages>().incarnation())
                                .withService(settings.service())
                                .withZone(settings.zone())
                                .withRegion(settings.region())
                                .withPeerAddress(kernel.require<PeerMessages>().address());
        m_members = std::make_unique<SharedMembers>(MemberView(self, kernel.clock().now()));
        m_gossiper = std::make_unique<Gossiper>(kernel, *m_members);
        m_announcer = std::make_unique<Announcer>(kernel, *m_members, [this] {
            syncWithSomeMembers();
        });
        kernel.provide<Membership>(*this);
        kernel.provide<ServingAdvertiser>(*this);
        kernel.provide<DepartureStore>(*m_announcer);
        addGauges();
        m_gossiper->start();
        m_announcer->start();
        return {};
    }

    void beginDrain() override
    {
        leave();
    }

    Member self() const override
    {
        return m_members->self();
    }

    std::shared_ptr<const Members> targetsOf(const std::string &service) const override
    {
        return m_members->targetsOf(service);
    }

    Members all() const override
    {
        return m_members->read([](const MemberView &view) {
            return view.all();
        });
    }

    std::size_t size() const override
    {
        return m_members->read([](const MemberView &view) {
            return view.recordCount();
        });
    }

    void leave() override
    {
        m_members->update([](MemberView view) {
            const Member &self = view.self();
            Member leaving = self.withState(MemberState::Leaving).withSequence(self.sequence() + 1);
            return std::move(view).withSelf(std::move(leaving));
        });
        broadcastOwnRecord();
        m_announcer->withdraw();
    }

    void setServing(bool isServing, std::uint32_t slots) override
    {
        m_members->update([&](MemberView view) {
            const Member &self = view.self();
            Member changed = self.withIsServing(isServing).withSlots(slots).withSequence(self.sequence() + 1);
            return std::move(view).withSelf(std::move(changed));
        });
        broadcastOwnRecord();
    }

private:
    void broadcastOwnRecord()
    {
        m_gossiper->broadcast(BroadcastMessage().withRecord(self()).withRange(HashRange::all()));
    }

    void syncWithSomeMembers()
    {
        const Members others = m_members->read([](const MemberView &view) {
            return chooseAliveMembers(view, {}, InitialSyncCount, randomWord());
        });
        for (const Member &other : others) {
            m_gossiper->syncWith(other.peerAddress());
        }
    }

    void addGauges()
    {
        static constexpr std::array States = {
            MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead};
        for (const MemberState state : States) {
            m_kernel->metrics().gauge("fescuepond_members", {{"state", toString(state)}}, [this, state] {
                return countMembers(state);
            });
        }
    }

    double countMembers(MemberState state) const
    {
        double count = 0;
        for (const Member &member : all()) {
            count += member.state() == state ? 1 : 0;
        }
        return count;
    }

    Kernel *m_kernel = nullptr;
    std::unique_ptr<SharedMembers> m_members;
    std::unique_ptr<Gossiper> m_gossiper;
    std::unique_ptr<Announcer> m_announcer;
};

const auto registration = registerPlugin<MembershipPlugin>("membership", {"store", "peer", "configuration"});

} // namespace

} // namespace fescuepond
