// Converts calls and outcomes to and from messages of the peer protocol.

#pragma once

#include "core/pipeline/interfaces.h"
#include "modules/peer/bodytransfer.h"
#include "modules/peer/peer.capnp.h"
#include "modules/peer/peerclock.h"

#include <optional>

namespace fescuepond
{

void encodeId(std::uint64_t high, std::uint64_t low, wire::Id::Builder builder);
template<typename Identifier>
void encode(const Identifier &id, wire::Id::Builder builder)
{
    encodeId(id.high(), id.low(), builder);
}
template<typename Identifier>
Identifier decodeId(wire::Id::Reader reader)
{
    return Identifier(reader.getHigh(), reader.getLow());
}

void encode(const WireDeadline &deadline, wire::Deadline::Builder builder);
WireDeadline decode(wire::Deadline::Reader reader);

void encode(const BackendNotice &notice, wire::Notice::Builder builder);
BackendNotice decode(wire::Notice::Reader reader);

/// `now` is used to encode the remaining time until the deadline and the latency objective.
void encode(const CallRequest &call,
            TimePoint now,
            const std::optional<CalleeClock> &callee,
            wire::Call::Builder builder,
            BodyPlacement placement = BodyPlacement::InMessage);
/// Returns nothing if the body does not match its digest. The body is empty if it is to be fetched.
std::optional<CallRequest> decode(wire::Call::Reader reader, const CallerClock &clock, TimePoint now);
/// The same if the sender's clock is unknown: the decoded deadline is late by the message's transmission delay.
std::optional<CallRequest> decode(wire::Call::Reader reader, TimePoint now);

/// Enough room for the message with the call or the outcome. Without it, each message takes 8 KiB, filled with zeros.
capnp::MessageSize sizeOf(const CallRequest &call, BodyPlacement placement = BodyPlacement::InMessage);
capnp::MessageSize sizeOf(const CallOutcome &outcome, BodyPlacement placement = BodyPlacement::InMessage);

void encode(const CallOutcome &outcome,
            wire::Outcome::Builder builder,
            BodyPlacement placement = BodyPlacement::InMessage);
/// Returns nothing if the body does not match its digest or an enumerator is unknown. The body is empty if it is to be
/// fetched.
std::optional<CallOutcome> decode(wire::Outcome::Reader reader);

void encode(const AttemptReport &report, wire::Peer::SettleResults::Builder builder, BodyPlacement placement);
/// Returns nothing if the outcome is corrupt or the status is unknown.
std::optional<AttemptReport> decode(wire::Peer::SettleResults::Reader reader);

} // namespace fescuepond
