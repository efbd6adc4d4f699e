// Finds the owner of a key and sends calls there.
//
// The ticket's own address, this node's list of members and the announcements of homes that handed over are tried; if
// they fail, a few other members are asked. None of it needs the platform.

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

    /// Sends a call to the owner of its key. Without an answer from there the outcome is unknown: nobody else may run
    /// it.
    void forward(const Ticket &ticket, const CallRequest &call, const Done &done);
    /// Sends a call that has no owner yet to a member that can be one.
    void submitElsewhere(const CallRequest &call, const Done &done);

    void ledgerMoved(const Incarnation &owner, const std::string &address);
    std::optional<std::string> movedTo(const Incarnation &owner) const;

private:
    static constexpr int MaxRetries = 2;

    /// One call on its way to the owner of its key.
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
        int m_hopsLeft; ///< Bounds the way through several hand-overs.
        /// The owner is asked again when the connection to it fails: it takes a key that it knows for a re-send.
        int m_retriesLeft = MaxRetries;
        bool m_hasAskedOthers = false; ///< Other members are asked once.
        std::atomic<bool> m_isLocated = false; ///< One of them has named an address.
    };
    using ForwardedCallPointer = std::shared_ptr<ForwardedCall>;

    void send(const ForwardedCallPointer &forwarded, const std::string &address);
    void handleReply(const ForwardedCallPointer &forwarded,
                     const std::string &address,
                     const std::optional<std::string> &bytes);
    /// Asks `members` where the owner has gone, all at once; the first address that comes is tried.
    void locate(const ForwardedCallPointer &forwarded, const Members &members);
    void giveUp(const ForwardedCall &forwarded);
    Duration timeLeft(const CallRequest &call) const;

    Kernel &m_kernel;
    PeerMessages &m_messages;
    const Membership &m_membership;
    SharedTable<MovedLedgers> m_moved;
};

} // namespace fescuepond
