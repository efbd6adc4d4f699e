// Communication with other nodes over Cap'n Proto RPC: the listener, outgoing connections and the event loop's thread.

#include "core/kernel/eventlog.h"
#include "core/kernel/kernel.h"
#include "core/pipeline/interfaces.h"
#include "modules/peer/outgoingcalls.h"
#include "modules/peer/peerlistener.h"
#include "modules/peer/peersender.h"
#include "modules/peer/peerserver.h"

#include <future>
#include <memory>

namespace fescuepond
{

namespace
{

class PeerPlugin final : public Plugin,
                         public CallSender,
                         public CallReceiver,
                         public CallCancellation,
                         public PeerMessages
{
public:
    Result<void> start(Kernel &kernel) override
    {
        m_kernel = &kernel;
        m_pipeline = &kernel.require<TargetPipeline>();
        m_settlement = &kernel.require<AttemptSettlement>();
        m_services = std::make_unique<PeerServices>(
            PeerServices{kernel, *m_pipeline, *m_settlement, *this, m_handlers, m_incarnation});
        m_sender = std::make_unique<PeerSender>(kernel, m_loop);
        std::promise<std::string> listening;
        m_loop.start([this, &listening] {
            listening.set_value(listen());
        });
        const std::string error = listening.get_future().get();
        if (!error.empty()) {
            return failure("cannot listen for peers on " + kernel.settings().peerAddress() + ": " + error);
        }
        kernel.provide<CallSender>(*this);
        kernel.provide<CallReceiver>(*this);
        kernel.provide<CallCancellation>(*this);
        kernel.provide<PeerMessages>(*this);
        return {};
    }

    void stop() override
    {
        m_loop.stop([this] {
            m_listener.reset();
            m_sender->close();
        });
    }

    std::string address() const override
    {
        const std::string &advertised = m_kernel->settings().peerAdvertisedAddress();
        return advertised.empty() ? m_address : advertised;
    }

    Incarnation incarnation() const override
    {
        return m_incarnation;
    }

    void send(const Member &target, const CallRequest &call, Done done) override
    {
        const CallContext &context = call.context();
        const bool isAbandoned = isCancellable(context) && m_outgoing.isAbandoned(context.parentAttempt());
        if (isAbandoned) {
            done(CallOutcome::notRun(Reason::Cancelled, "the caller abandoned the parent request"));
            return;
        }
        const bool isLocal = target.name() == m_kernel->settings().name();
        Done completed =
            trackUntilCompleted(call.context(), isLocal ? std::string() : target.peerAddress(), std::move(done));
        if (isLocal) {
            m_pipeline->submit(call, std::move(completed));
            return;
        }
        m_sender->send(target, call, std::move(completed));
    }

    void post(std::function<void()> task) override
    {
        m_loop.post(std::move(task));
    }

    void cancelCallsOf(const AttemptId &parent) override
    {
        for (const OutgoingCall &call : m_outgoing.abandon(parent)) {
            if (!call.address().empty()) {
                m_sender->cancel(call.address(), call.attemptId(), call.deadline());
                continue;
            }
            m_settlement->cancel(call.attemptId(), call.deadline());
            cancelCallsOf(call.attemptId());
        }
    }

    void setHandler(PeerTopic topic, PeerHandler handler) override
    {
        // Changed on the loop's thread because that thread reads the table without a lock.
        m_loop.post([this, topic, handler = std::move(handler)] {
            m_handlers[topic] = handler;
        });
    }

    void
    ask(const std::string &address, PeerTopic topic, std::string request, Duration timeout, PeerReply reply) override
    {
        m_sender->ask(address, topic, std::move(request), timeout, std::move(reply));
    }

private:
    /// A non-idempotent call may be cancelled only if it has a caller attempt, since its outcome is then never queried
    /// again. The target cancels such a call only if the backend server doesn't have it yet.
    static bool isCancellable(const CallContext &call)
    {
        return (call.idempotent() || !call.callerAttempt().empty()) && !call.parentAttempt().isNone();
    }

    /// Keeps a cancellable call in m_outgoing until it completes. Returns the continuation that removes it and calls
    /// `done`.
    Done trackUntilCompleted(const CallContext &call, const std::string &address, Done done)
    {
        if (!isCancellable(call)) {
            return done;
        }
        const AttemptId parent = call.parentAttempt();
        const AttemptId attemptId = call.attemptId();
        m_outgoing.add(parent,
                       OutgoingCall().withAttemptId(attemptId).withAddress(address).withDeadline(call.deadline()));
        return [this, parent, attemptId, done = std::move(done)](const CallOutcome &outcome) {
            m_outgoing.remove(parent, attemptId);
            done(outcome);
        };
    }

    /// Opens the listener on the loop's thread. Returns an error message, or an empty string on success.
    std::string listen()
    {
        m_sender->open();
        const std::string &configured = m_kernel->settings().peerAddress();
        try {
            auto &io = m_loop.io();
            auto parsed = io.provider->getNetwork().parseAddress(configured).wait(io.waitScope);
            auto receiver = parsed->listen();
            m_address = configured.substr(0, configured.rfind(':') + 1) + std::to_string(receiver->getPort());
            Event("listening").with("listener", "peer").with("address", m_address);
            m_listener = std::make_unique<PeerListener>(kj::mv(receiver), io.provider->getTimer(), *m_services);
            return {};
        } catch (const kj::Exception &error) {
            return error.getDescription().cStr();
        }
    }

    Kernel *m_kernel = nullptr;
    TargetPipeline *m_pipeline = nullptr;
    AttemptSettlement *m_settlement = nullptr;
    const Incarnation m_incarnation = Incarnation::random();
    OutgoingCalls m_outgoing;
    EventLoop m_loop;
    std::unique_ptr<PeerSender> m_sender;
    std::unique_ptr<PeerServices> m_services;
    std::string m_address;

    // The following are used only on the loop's thread.
    PeerHandlers m_handlers;
    std::unique_ptr<PeerListener> m_listener;
};

const auto registration = registerPlugin<PeerPlugin>("peer", {"pipelines", "settlement"});

} // namespace

} // namespace fescuepond
