// Entry stage for calls that may run at most once: submits each call to the node that owns its key.
//
// The stage connects the parts: LedgerTable holds the key records, KeyBinder binds callers' keys at the platform,
// KeyForwarder reaches owners on other nodes, and LedgerTransfer transfers the ledgers at a planned stop.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/headernames.h"
#include "core/pipeline/interfaces.h"
#include "modules/ledger/keybinder.h"
#include "modules/ledger/keyforwarder.h"
#include "modules/ledger/ledgerencoding.h"
#include "modules/ledger/ledgertable.h"
#include "modules/ledger/ledgertransfer.h"
#include "modules/peer/wireencoding.h"

#include <kj/exception.h>

#include <array>
#include <memory>

namespace fescuepond
{

namespace
{

class LedgerPlugin final : public Plugin, public CallStage, public TicketIssuer
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_membership = &kernel.require<Membership>();
        m_messages = &kernel.require<PeerMessages>();
        auto &pipeline = kernel.require<EntryPipeline>();
        const auto &calls = kernel.require<CallsInFlight>();
        const Incarnation ownIncarnation = m_membership->self().incarnation();
        m_ledgers = std::make_unique<LedgerTable>(kernel, pipeline, calls, ownIncarnation);
        m_binder = std::make_unique<KeyBinder>(kernel, kernel.require<ObjectStore>());
        m_forwarder = std::make_unique<KeyForwarder>(kernel, *m_messages, *m_membership);
        m_transfer =
            std::make_unique<LedgerTransfer>(kernel, *m_messages, *m_membership, calls, *m_ledgers, *m_forwarder);
        registerGauges();
        m_messages->setHandler(PeerTopic::KeyedCall, [this](const std::string &request, const PeerReply &reply) {
            handleKeyedCall(request, reply);
        });
        m_messages->setHandler(PeerTopic::KeyRecords, [this](const std::string &request, const PeerReply &reply) {
            reply(m_transfer->handle(request));
        });
        pipeline.add(EntryStage::Key, *this);
        kernel.provide<TicketIssuer>(*this);
        return {};
    }

    /// Starts the transfer only at this step of the stop. Until the other nodes have learnt that this one is leaving,
    /// it continues to own new keys.
    void rejectNewWork() override
    {
        m_isDraining = true;
        m_transfer->begin();
    }
    std::size_t workInFlight() const override
    {
        return m_isDraining && !m_transfer->isFinished() ? 1 : 0;
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        if (!call.context().callerAttempt().empty()) {
            next(call, std::move(done));
            return;
        }
        if (call.context().depth() == 0) {
            done = attachTicket(std::move(done));
        }
        if (call.context().idempotent()) {
            next(call, std::move(done));
            return;
        }
        submit(call, done, true);
    }

    std::vector<std::string> issueTickets(std::size_t count) override
    {
        std::vector<std::string> tickets;
        for (std::size_t i = 0; i < count; ++i) {
            if (const auto location = m_ledgers->issueLocation()) {
                tickets.push_back(toTicket(*location).toString());
            }
        }
        return tickets;
    }

private:
    using SubmitFunction = void (LedgerPlugin::*)(const CallRequest &call,
                                                  const KeyName &key,
                                                  const Done &done,
                                                  bool canSubmitElsewhere);

    void registerGauges()
    {
        const auto gauge = [this](const char *name, std::size_t (LedgerTable::*read)() const) {
            m_kernel->metrics().gauge(name, {}, [this, read] {
                return static_cast<double>((m_ledgers.get()->*read)());
            });
        };
        gauge("fescuepond_key_records", &LedgerTable::recordCount);
        gauge("fescuepond_key_answer_bytes", &LedgerTable::answerBytes);
        gauge("fescuepond_keys_running", &LedgerTable::running);
    }

    /// Submits a call as its entry node. `canSubmitElsewhere`: the call may be forwarded if this node's ledger is
    /// closed.
    void submit(const CallRequest &call, const Done &done, bool canSubmitElsewhere)
    {
        // Indexed by KeyOrigin.
        static constexpr std::array<SubmitFunction, 4> SubmitByOrigin = {&LedgerPlugin::submitNew,
                                                                         &LedgerPlugin::submitOpaque,
                                                                         &LedgerPlugin::submitTicket,
                                                                         &LedgerPlugin::submitChild};
        static constexpr std::array<const char *, 4> Origins = {"none", "opaque", "ticket", "derived"};
        const KeyName key = KeyName::parse(call.context().key());
        const auto origin = static_cast<std::size_t>(key.origin());
        m_kernel->metrics().count("fescuepond_keyed_calls_total", {{"origin", Origins.at(origin)}});
        (this->*SubmitByOrigin.at(origin))(call, key, done, canSubmitElsewhere);
    }

    void submitNew(const CallRequest &call, const KeyName &, const Done &done, bool canSubmitElsewhere)
    {
        if (const auto location = m_ledgers->issueLocation()) {
            submitToOwner(toTicket(*location), call, done);
            return;
        }
        submitElsewhere(call, done, canSubmitElsewhere);
    }

    void submitOpaque(const CallRequest &call, const KeyName &key, const Done &done, bool canSubmitElsewhere)
    {
        if (key.text().size() > MaxKeyBytes) {
            reject(call, done, Reason::BadRequest, "the key is too long");
            return;
        }
        const auto location = m_ledgers->issueLocation();
        if (!location) {
            submitElsewhere(call, done, canSubmitElsewhere);
            return;
        }
        const KeyBinding proposed = KeyBinding().withScopedKey(scopedKey(call, key)).withTicket(toTicket(*location));
        // Set by whichever comes first and decides the submission: the platform's reply or the deadline.
        const auto isDecided = std::make_shared<std::atomic<bool>>(false);
        const auto timer = m_kernel->timers().once(call.context().deadline(), [this, call, done, isDecided] {
            if (!isDecided->exchange(true)) {
                reject(call, done, Reason::PlatformUnavailable, "the platform did not reply before the deadline");
            }
        });
        m_binder->bind(proposed, [this, call, done, isDecided, timer](const BindingDecision &decision) {
            m_kernel->timers().cancel(timer);
            if (!isDecided->exchange(true)) {
                handleBinding(decision, call, done);
            }
        });
    }

    void handleBinding(const BindingDecision &decision, const CallRequest &call, const Done &done)
    {
        if (decision.action() == BindingAction::Reject) {
            done(decision.rejection().withUnusedAllowance(call.context().retryAllowance()));
            return;
        }
        submitToOwner(decision.binding().ticket(), call, done);
    }

    void submitTicket(const CallRequest &call, const KeyName &key, const Done &done, bool)
    {
        const auto ticket = Ticket::parse(key.text());
        if (!ticket) {
            reject(call, done, Reason::BadRequest, "the ticket can't be read");
            return;
        }
        submitToOwner(*ticket, call, done);
    }

    void submitChild(const CallRequest &call, const KeyName &key, const Done &done, bool)
    {
        const auto location = m_ledgers->locationOfChild(key.text());
        if (!location || m_ledgers->submit(*location, call, key.text(), done) != SubmissionResult::Accepted) {
            reject(call, done, Reason::Leaving, "this node has closed its key ledger");
        }
    }

    /// Submits a call to the owner of its key, which is this node or another one.
    void submitToOwner(const Ticket &ticket, const CallRequest &call, const Done &done)
    {
        switch (m_ledgers->submit(ticket.location(), call, {}, done)) {
        case SubmissionResult::Accepted:
            return;
        case SubmissionResult::NotOwner:
            m_forwarder->forward(ticket, call, done);
            return;
        case SubmissionResult::Closed:
            break;
        }
        if (m_forwarder->movedTo(ticket.location().owner())) {
            m_forwarder->forward(ticket, call, done);
            return;
        }
        reject(call, done, Reason::Leaving, "the key's owner is transferring its ledger; send the call again");
    }

    void submitElsewhere(const CallRequest &call, const Done &done, bool isAllowed)
    {
        if (!isAllowed) {
            reject(call, done, Reason::Leaving, "this node is leaving");
            return;
        }
        m_forwarder->submitElsewhere(call, done);
    }

    void handleKeyedCall(const std::string &request, const PeerReply &reply)
    {
        try {
            FlatMessageReader message(request);
            const auto root = message.root<wire::KeyedCall>();
            const auto location =
                KeyLocation().withOwner(decodeId<Incarnation>(root.getHome())).withSerial(root.getSerial());
            const auto call = decode(root.getCall(), m_kernel->clock().now());
            if (call) {
                handleForwarded(location, *call, reply);
                return;
            }
        } catch (const kj::Exception &error) {
            Event("keyed_call_unreadable").with("error", error.getDescription().cStr());
        }
        reply(std::nullopt);
    }

    void handleForwarded(const KeyLocation &location, const CallRequest &call, const PeerReply &reply)
    {
        const Done done = [reply](const CallOutcome &outcome) {
            reply(encodeKeyedReply(KeyedReply().withKind(KeyedReplyKind::Outcome).withOutcome(outcome)));
        };
        if (location.owner().isNone()) {
            submit(call, done, false);
            return;
        }
        const SubmissionResult submission = m_ledgers->submit(location, call, {}, done);
        if (submission == SubmissionResult::Accepted) {
            return;
        }
        if (const auto address = m_forwarder->movedTo(location.owner())) {
            reply(encodeKeyedReply(KeyedReply().withKind(KeyedReplyKind::Moved).withAddress(*address)));
            return;
        }
        if (submission == SubmissionResult::Closed) {
            reject(call, done, Reason::Leaving, "the key's owner is transferring its ledger; send the call again");
            return;
        }
        reply(encodeKeyedReply(KeyedReply().withKind(KeyedReplyKind::NotOwner)));
    }

    void reject(const CallRequest &call, const Done &done, Reason reason, const char *detail)
    {
        done(CallOutcome::notRun(reason, detail).withUnusedAllowance(call.context().retryAllowance()));
    }

    /// Adds a new ticket to the answer, for the caller's next request.
    Done attachTicket(Done done)
    {
        return [this, done = std::move(done)](const CallOutcome &outcome) {
            const auto location = m_ledgers->issueLocation();
            if (!location) {
                done(outcome);
                return;
            }
            Headers headers = outcome.headers();
            headers[std::string(header::Ticket)] = toTicket(*location).toString();
            done(outcome.withHeaders(std::move(headers)));
        };
    }

    Ticket toTicket(const KeyLocation &location) const
    {
        return Ticket()
            .withLocation(location)
            .withAddress(m_messages->address())
            .withNodeName(m_kernel->settings().name());
    }

    Kernel *m_kernel = nullptr;
    Membership *m_membership = nullptr;
    PeerMessages *m_messages = nullptr;
    std::unique_ptr<LedgerTable> m_ledgers;
    std::unique_ptr<KeyBinder> m_binder;
    std::unique_ptr<KeyForwarder> m_forwarder;
    std::unique_ptr<LedgerTransfer> m_transfer;
    std::atomic<bool> m_isDraining = false;
};

const auto registration = registerPlugin<LedgerPlugin>("ledger", {"pipelines", "store", "peer", "membership"});

} // namespace

} // namespace fescuepond
