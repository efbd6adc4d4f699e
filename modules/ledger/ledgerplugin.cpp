// Entry stage for calls that may run at most once: brings each to the home of its key.
//
// The stage only connects the parts: KeyHomes keeps the records, KeyBinder binds chosen keys at the platform,
// KeyForwarder reaches homes at other nodes, KeyHandover passes records on at a planned stop.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/pipeline/callpipeline.h"
#include "core/pipeline/headernames.h"
#include "core/pipeline/interfaces.h"
#include "modules/ledger/keybinder.h"
#include "modules/ledger/keyforwarder.h"
#include "modules/ledger/keyhandover.h"
#include "modules/ledger/keyhomes.h"
#include "modules/ledger/ledgerencoding.h"
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
        const Incarnation own = m_membership->self().incarnation();
        m_homes = std::make_unique<KeyHomes>(kernel, pipeline, calls, own);
        m_binder = std::make_unique<KeyBinder>(kernel, kernel.require<ObjectStore>());
        m_forwarder = std::make_unique<KeyForwarder>(kernel, *m_messages, *m_membership);
        m_handover = std::make_unique<KeyHandover>(kernel, *m_messages, *m_membership, calls, *m_homes, *m_forwarder);
        registerGauges();
        m_messages->setHandler(PeerTopic::KeyedCall, [this](const std::string &request, const PeerReply &reply) {
            handleKeyedCall(request, reply);
        });
        m_messages->setHandler(PeerTopic::KeyRecords, [this](const std::string &request, const PeerReply &reply) {
            reply(m_handover->handle(request));
        });
        pipeline.add(EntryPlace::Key, *this);
        kernel.provide<TicketIssuer>(*this);
        return {};
    }

    /// Hands over only now: while others still turn away, this node goes on being the home of new keys.
    void refuseNewWork() override
    {
        m_isDraining = true;
        m_handover->begin();
    }
    std::size_t workInFlight() const override
    {
        return m_isDraining && !m_handover->isFinished() ? 1 : 0;
    }

    void handle(const CallRequest &call, const Next &next, Done done) override
    {
        if (!call.context().callerAttempt().empty()) {
            next(call, std::move(done));
            return;
        }
        if (call.context().depth() == 0) {
            done = withTicket(std::move(done));
        }
        if (call.context().idempotent()) {
            next(call, std::move(done));
            return;
        }
        enter(call, done, true);
    }

    std::vector<std::string> issueTickets(std::size_t count) override
    {
        std::vector<std::string> tickets;
        for (std::size_t i = 0; i < count; ++i) {
            if (const auto place = m_homes->issue()) {
                tickets.push_back(toTicket(*place).toString());
            }
        }
        return tickets;
    }

private:
    using Enter = void (LedgerPlugin::*)(const CallRequest &call,
                                         const KeyName &key,
                                         const Done &done,
                                         bool mayEnterElsewhere);

    void registerGauges()
    {
        const auto gauge = [this](const char *name, std::size_t (KeyHomes::*read)() const) {
            m_kernel->metrics().gauge(name, {}, [this, read] {
                return static_cast<double>((m_homes.get()->*read)());
            });
        };
        gauge("fescuepond_key_records", &KeyHomes::recordCount);
        gauge("fescuepond_key_answer_bytes", &KeyHomes::answerBytes);
        gauge("fescuepond_keys_running", &KeyHomes::running);
    }

    /// Takes a call at its entry. `mayEnterElsewhere`: another node may be asked when this one hands over.
    void enter(const CallRequest &call, const Done &done, bool mayEnterElsewhere)
    {
        // By KeyOrigin.
        static constexpr std::array<Enter, 4> Entries = {
            &LedgerPlugin::enterNew, &LedgerPlugin::enterOpaque, &LedgerPlugin::enterTicket, &LedgerPlugin::enterChild};
        static constexpr std::array<const char *, 4> Origins = {"none", "opaque", "ticket", "derived"};
        const KeyName key = KeyName::parse(call.context().key());
        const auto origin = static_cast<std::size_t>(key.origin());
        m_kernel->metrics().count("fescuepond_keyed_calls_total", {{"origin", Origins.at(origin)}});
        (this->*Entries.at(origin))(call, key, done, mayEnterElsewhere);
    }

    void enterNew(const CallRequest &call, const KeyName &, const Done &done, bool mayEnterElsewhere)
    {
        if (const auto place = m_homes->issue()) {
            bring(toTicket(*place), call, done);
            return;
        }
        enterElsewhere(call, done, mayEnterElsewhere);
    }

    void enterOpaque(const CallRequest &call, const KeyName &key, const Done &done, bool mayEnterElsewhere)
    {
        if (key.text().size() > MaxKeyBytes) {
            refuse(call, done, Reason::BadRequest, "the key is too long");
            return;
        }
        const auto place = m_homes->issue();
        if (!place) {
            enterElsewhere(call, done, mayEnterElsewhere);
            return;
        }
        const KeyBinding proposed = KeyBinding().withScopedKey(scopedKey(call, key)).withTicket(toTicket(*place));
        // Whoever sets it decides how the submission goes on: the platform's answer, or the deadline.
        const auto isDecided = std::make_shared<std::atomic<bool>>(false);
        const auto timer = m_kernel->timers().once(call.context().deadline(), [this, call, done, isDecided] {
            if (!isDecided->exchange(true)) {
                refuse(call, done, Reason::PlatformUnavailable, "the platform did not say in time who may run the key");
            }
        });
        m_binder->bind(proposed, [this, call, done, isDecided, timer](const BindingDecision &decision) {
            m_kernel->timers().cancel(timer);
            if (!isDecided->exchange(true)) {
                bound(decision, call, done);
            }
        });
    }

    void bound(const BindingDecision &decision, const CallRequest &call, const Done &done)
    {
        if (decision.action() == BindingAction::Refuse) {
            done(decision.refusal().withUnusedAllowance(call.context().retryAllowance()));
            return;
        }
        bring(decision.binding().ticket(), call, done);
    }

    void enterTicket(const CallRequest &call, const KeyName &key, const Done &done, bool)
    {
        const auto ticket = Ticket::parse(key.text());
        if (!ticket) {
            refuse(call, done, Reason::BadRequest, "the ticket can't be read");
            return;
        }
        bring(*ticket, call, done);
    }

    void enterChild(const CallRequest &call, const KeyName &key, const Done &done, bool)
    {
        const auto place = m_homes->placeOfChild(key.text());
        if (!place || m_homes->submit(*place, call, key.text(), done) != KeySubmission::Taken) {
            refuse(call, done, Reason::Leaving, "this node has handed its keys over");
        }
    }

    /// Brings a call to the home of its key, here or at another node.
    void bring(const Ticket &ticket, const CallRequest &call, const Done &done)
    {
        switch (m_homes->submit(ticket.place(), call, {}, done)) {
        case KeySubmission::Taken:
            return;
        case KeySubmission::NotHome:
            m_forwarder->forward(ticket, call, done);
            return;
        case KeySubmission::Closed:
            break;
        }
        if (m_forwarder->movedTo(ticket.place().home())) {
            m_forwarder->forward(ticket, call, done);
            return;
        }
        refuse(call, done, Reason::Leaving, "the home of the key hands its records over; send it again");
    }

    void enterElsewhere(const CallRequest &call, const Done &done, bool isAllowed)
    {
        if (!isAllowed) {
            refuse(call, done, Reason::Leaving, "this node is leaving");
            return;
        }
        m_forwarder->enterElsewhere(call, done);
    }

    void handleKeyedCall(const std::string &request, const PeerReply &reply)
    {
        try {
            FlatMessageReader message(request);
            const auto root = message.root<wire::KeyedCall>();
            const auto place = KeyPlace().withHome(decodeId<Incarnation>(root.getHome())).withSerial(root.getSerial());
            const auto call = decode(root.getCall(), m_kernel->clock().now());
            if (call) {
                takeForwarded(place, *call, reply);
                return;
            }
        } catch (const kj::Exception &error) {
            Event("keyed_call_unreadable").with("error", error.getDescription().cStr());
        }
        reply(std::nullopt);
    }

    void takeForwarded(const KeyPlace &place, const CallRequest &call, const PeerReply &reply)
    {
        const Done done = [reply](const CallOutcome &outcome) {
            reply(encodeKeyedReply(KeyedReply().withKind(KeyedReplyKind::Outcome).withOutcome(outcome)));
        };
        if (place.home().isNone()) {
            enter(call, done, false);
            return;
        }
        const KeySubmission taken = m_homes->submit(place, call, {}, done);
        if (taken == KeySubmission::Taken) {
            return;
        }
        if (const auto address = m_forwarder->movedTo(place.home())) {
            reply(encodeKeyedReply(KeyedReply().withKind(KeyedReplyKind::Moved).withAddress(*address)));
            return;
        }
        if (taken == KeySubmission::Closed) {
            refuse(call, done, Reason::Leaving, "the home of the key hands its records over; send it again");
            return;
        }
        reply(encodeKeyedReply(KeyedReply().withKind(KeyedReplyKind::NotHome)));
    }

    void refuse(const CallRequest &call, const Done &done, Reason reason, const char *detail)
    {
        done(CallOutcome::notRun(reason, detail).withUnusedAllowance(call.context().retryAllowance()));
    }

    /// Adds a fresh ticket to the answer, for the caller's next request.
    Done withTicket(Done done)
    {
        return [this, done = std::move(done)](const CallOutcome &outcome) {
            const auto place = m_homes->issue();
            if (!place) {
                done(outcome);
                return;
            }
            Headers headers = outcome.headers();
            headers[std::string(header::Ticket)] = toTicket(*place).toString();
            done(outcome.withHeaders(std::move(headers)));
        };
    }

    Ticket toTicket(const KeyPlace &place) const
    {
        return Ticket().withPlace(place).withAddress(m_messages->address()).withNodeName(m_kernel->settings().name());
    }

    Kernel *m_kernel = nullptr;
    Membership *m_membership = nullptr;
    PeerMessages *m_messages = nullptr;
    std::unique_ptr<KeyHomes> m_homes;
    std::unique_ptr<KeyBinder> m_binder;
    std::unique_ptr<KeyForwarder> m_forwarder;
    std::unique_ptr<KeyHandover> m_handover;
    std::atomic<bool> m_isDraining = false;
};

const auto registration = registerPlugin<LedgerPlugin>("ledger", {"pipelines", "store", "peer", "membership"});

} // namespace

} // namespace fescuepond
