// Finds the owner of a key and forwards calls to it.
//
// The address comes from the announcements of transferred ledgers, from this node's member list or from the ticket. If
// the node at that address does not own the key, a few other members are asked. The platform is not needed.

#pragma once

#include "core/kernel/kernel.h"
#include "core/kernel/sharedtable.h"
#include "core/pipeline/interfaces.h"
#include "modules/ledger/ledgerencoding.h"
#include "servers/ledger/ledgerlocation.h"

#include <atomic>
#include <memory>
#include <string>

namespace fescuepond
{

class KeyForwarder
{
public:
    KeyForwarder(Kernel &kernel, PeerMessages &messages, const Membership &membership);

    /// Forwards a call to the owner of its key. If no reply arrives, the outcome is unknown, since no other node may
    /// run the call.
    void forward(const Ticket &ticket, const CallRequest &call, const Done &done);
    /// Forwards a call whose key has no owner yet to a member that can become the owner.
    void submitElsewhere(const CallRequest &call, const Done &done);

    void recordMovedLedger(const Incarnation &owner, const std::string &address);
    std::optional<std::string> movedTo(const Incarnation &owner) const;

private:
    static constexpr int MaxRetries = 2;

    /// A call that is being forwarded to the owner of its key.
    struct ForwardedCall {
        ForwardedCall(Ticket ticket, CallRequest call, Done done, int hopsLeft)
            : m_ticket(std::move(ticket))
            , m_call(std::move(call))
            , m_done(std::move(done))
            , m_hopsLeft(hopsLeft)
        {
        }
        const Ticket m_ticket;
        const CallRequest m_call;
        const Done m_done;
        int m_hopsLeft; ///< Bounds the number of nodes tried, in case the ledger was transferred several times.
        /// The owner is asked again if the connection to it fails: it recognises a key that it has started.
        int m_retriesLeft = MaxRetries;
        bool m_hasAskedOthers = false; ///< Other members are asked only once per call.
        std::atomic<bool> m_isLocated = false; ///< One of the other members has replied with an address.
    };
    using ForwardedCallPointer = std::shared_ptr<ForwardedCall>;

    void send(const ForwardedCallPointer &forwarded, const std::string &address);
    void handleReply(const ForwardedCallPointer &forwarded,
                     const std::string &address,
                     const std::optional<std::string> &bytes);
    /// Asks all `members` at once where the ledger was transferred to, and tries the first address that is returned.
    void locate(const ForwardedCallPointer &forwarded, const Members &members);
    void giveUp(const ForwardedCall &forwarded);
    Duration timeLeft(const CallRequest &call) const;

    Kernel &m_kernel;
    PeerMessages &m_messages;
    const Membership &m_membership;
    SharedTable<MovedLedgers> m_moved;
};

} // namespace fescuepond
