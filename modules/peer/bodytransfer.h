// Transfer of bodies between nodes outside the message that they belong to.
//
// A long body stays with its sender until the receiver has charged its size to the memory for bodies; then the receiver
// reads it piece by piece. So a node holds no bodies of other nodes beyond its limit, however many of them send.

#pragma once

#include "core/pipeline/interfaces.h"
#include "core/values/body.h"
#include "modules/peer/peer.capnp.h"

#include <kj/async.h>
#include <kj/timer.h>

#include <cstdint>
#include <optional>

namespace fescuepond
{

/// Where the body of a call or an outcome is sent.
enum class BodyPlacement {
    InMessage,
    Fetched, ///< Outside the message if it is longer than MaxBodyInMessage.
};

/// In bytes.
constexpr std::size_t MaxBodyInMessage = 16'384;

inline bool isFetched(const Body &body, BodyPlacement placement)
{
    return placement == BodyPlacement::Fetched && body.size() > MaxBodyInMessage;
}

/// Where the body of a request on `topic`, and of its reply, is sent to a node that takes bodies at `placement`. Only
/// forwarded calls have bodies of callers; the others must arrive even if there is no room for those.
inline BodyPlacement topicPlacement(PeerTopic topic, BodyPlacement placement)
{
    return topic == PeerTopic::KeyedCall ? placement : BodyPlacement::InMessage;
}

/// A capability with which the receiver of a message reads `body`. The body is held until the receiver drops it.
wire::BodySource::Client sourceOf(const Body &body);

/// Adds a body to a message.
template<typename Builder>
void placeBody(const Body &body, Builder &&message, BodyPlacement placement)
{
    message.setBodyDigest(body.digest());
    if (isFetched(body, placement)) {
        message.setBodySource(sourceOf(body));
        message.setBodySize(body.size());
    } else {
        message.setBody({reinterpret_cast<const capnp::byte *>(body.bytes().data()), body.size()});
    }
}

/// What a receiver expects of a body, and when it gives up.
struct BodyFetch {
    wire::BodySource::Client source;
    std::uint64_t size;
    std::uint64_t digest;
    std::size_t maxBytes; ///< A longer body is an error.
    kj::Duration maxWait; ///< For room.
};

template<typename Reader>
BodyFetch fetchOf(const Reader &message, std::size_t maxBytes, kj::Duration maxWait)
{
    return {message.getBodySource(), message.getBodySize(), message.getBodyDigest(), maxBytes, maxWait};
}

/// Waits for room for the body and reads it; the result is nothing if there was no room in time. Fails if the body
/// can't be read, is too long or doesn't match its digest.
kj::Promise<std::optional<Body>> fetchBody(BodyFetch fetch, kj::Timer &timer);

} // namespace fescuepond
