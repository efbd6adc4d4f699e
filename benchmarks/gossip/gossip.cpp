// Measures what the decisions and the encoding of the gossip cost a node in fleets of several sizes: processor time of
// one second of its part, and bytes of its messages. No processes, no network.

#include "modules/membership/gossipencoding.h"
#include "servers/membership/memberrecord.h"

#include <fmt/format.h>

#include <array>
#include <chrono>

using namespace fescuepond;

namespace
{

constexpr std::array Sizes = {100, 400, 1300};
constexpr int Zones = 7;
constexpr int TargetsPerService = 6;
constexpr int Rounds = 300;
/// Comparisons are made every ten seconds, so a round has a tenth of one.
constexpr int RoundsPerSync = 10;

Member memberNumber(int number)
{
    const std::string name = fmt::format("yard-zone-{}-vm-{}", number % Zones, number);
    return Member()
        .withName(name)
        .withStartedAtMs(1'700'000'000'000)
        .withIncarnation(Incarnation(nameHash(name), static_cast<std::uint64_t>(number)))
        .withService(fmt::format("service-{}", number / TargetsPerService))
        .withZone(fmt::format("zone-{}", number % Zones))
        .withRegion("ulaanbaatar")
        .withPeerAddress(fmt::format("10.1.{}.{}:7003", number / 250, number % 250));
}

/// The view of node `own` that knows all members.
MemberView viewOf(int own, int size, TimePoint now)
{
    Members others;
    for (int i = 0; i < size; ++i) {
        if (i != own) {
            others.push_back(memberNumber(i));
        }
    }
    return mergeRecords(MemberView(memberNumber(own), now), others, now);
}

/// What one message and its reply are as bytes.
struct MessageSizes {
    std::size_t request = 0;
    std::size_t reply = 0;
};

/// Sends `request` from one view to the other, with all encoding and decoding.
MessageSizes roundTrip(MemberView &from, MemberView &to, const GossipRequest &request, TimePoint now)
{
    const std::string asked = encode(request);
    auto step = answerRequest(std::move(to), *decodeRequest(asked), now);
    to = std::move(step.view);
    const std::string answered = encode(step.message);
    from = mergeReply(std::move(from), *decodeReply(answered), now);
    return {asked.size(), answered.size()};
}

void measure(int size)
{
    ManualClock clock;
    MemberView one = viewOf(0, size, clock.now());
    MemberView other = viewOf(1, size, clock.now());
    MessageSizes probe;
    MessageSizes sync;
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < Rounds; ++round) {
        clock.advance(std::chrono::seconds(1));
        one = expireMembers(std::move(one), clock.now());
        const auto probed = chooseProbeTarget(one, static_cast<std::uint64_t>(round) << 32U | 1U);
        // A change every ten seconds is 30 times what 300 restarts a day make.
        if (round % RoundsPerSync == 0) {
            const Member changed = probed->withSequence(probed->sequence() + 1);
            one = mergeRecords(std::move(one), {changed}, clock.now());
            sync = roundTrip(one, other, makeDigestSync(one), clock.now());
        }
        auto step = makeProbe(std::move(one), other.self().name());
        one = std::move(step.view);
        probe = roundTrip(one, other, step.message, clock.now());
    }
    const double microseconds =
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / Rounds;
    MemberView fresh(memberNumber(size), clock.now());
    const GossipReply versions = answerRequest(one, makeDigestSync(fresh), clock.now()).message;
    fmt::print("{:>6} {:>12.0f} {:>10.3f} {:>8} {:>8} {:>10} {:>10}\n",
               size,
               microseconds,
               microseconds / 10'000,
               probe.request,
               probe.reply,
               sync.request,
               encode(versions).size());
}

} // namespace

int main()
{
    fmt::print("{:>6} {:>12} {:>10} {:>8} {:>8} {:>10} {:>10}\n",
               "nodes",
               "us a second",
               "core %",
               "probe B",
               "reply B",
               "compare B",
               "heads B");
    for (const int size : Sizes) {
        measure(size);
    }
    return 0;
}
