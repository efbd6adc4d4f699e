// Between calls as values and the messages of the peer protocol.

#pragma once

#include "core/pipeline/interfaces.h"
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

/// `now` turns the deadline into time that is left.
void encode(const CallRequest &call, TimePoint now, wire::Call::Builder builder);
/// Nothing when the body does not match its digest.
std::optional<CallRequest> decode(wire::Call::Reader reader, const PeerClock &clock, TimePoint now);
/// The same for a call that comes without the sender's clock: its deadline is late by the message's way.
std::optional<CallRequest> decode(wire::Call::Reader reader, TimePoint now);

void encode(const CallOutcome &outcome, wire::Outcome::Builder builder);
/// Nothing when the body does not match its digest or a name is not known.
std::optional<CallOutcome> decode(wire::Outcome::Reader reader);

void encode(const AttemptReport &report, wire::Peer::SettleResults::Builder builder);
/// Nothing when the outcome is damaged or the status is not known.
std::optional<AttemptReport> decode(wire::Peer::SettleResults::Reader reader);

} // namespace fescuepond
