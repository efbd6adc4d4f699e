// Measures the cost of gossip at a node in fleets of several sizes, without processes or a network: processor time per
// second of protocol time (decisions, encoding and decoding), and message sizes.

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
/// A round is one second; nodes run an anti-entropy sync every ten seconds.
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

/// The view of node number `own` once it knows all `size` members.
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

/// Sizes of an encoded message and its reply in bytes.
struct MessageSizes {
    std::size_t request = 0;
    std::size_t reply = 0;
};

/// Passes `request` and its reply between two views, with encoding and decoding.
MessageSizes roundTrip(MemberView &from, MemberView &to, const GossipRequest &request, TimePoint now)
{
    const std::string encodedRequest = encode(request);
    auto step = answerRequest(std::move(to), *decodeRequest(encodedRequest), now);
    to = std::move(step.view);
    const std::string encodedReply = encode(step.message);
    from = mergeReply(std::move(from), *decodeReply(encodedReply), now);
    return {encodedRequest.size(), encodedReply.size()};
}

void measure(int size)
{
    ManualClock clock;
    MemberView local = viewOf(0, size, clock.now());
    MemberView remote = viewOf(1, size, clock.now());
    MessageSizes probe;
    MessageSizes sync;
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 0; round < Rounds; ++round) {
        clock.advance(std::chrono::seconds(1));
        local = expireMembers(std::move(local), clock.now());
        const auto probeTarget = chooseProbeTarget(local, static_cast<std::uint64_t>(round) << 32U | 1U);
        // One change every ten seconds is about 30 times the rate of a fleet with 300 restarts per day.
        if (round % RoundsPerSync == 0) {
            const Member changed = probeTarget->withSequence(probeTarget->sequence() + 1);
            local = mergeRecords(std::move(local), {changed}, clock.now());
            sync = roundTrip(local, remote, makeDigestSync(local), clock.now());
        }
        auto step = makeProbe(std::move(local), remote.self().name());
        local = std::move(step.view);
        probe = roundTrip(local, remote, step.message, clock.now());
    }
    const double microseconds =
        std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / Rounds;
    MemberView joining(memberNumber(size), clock.now());
    const GossipReply versions = answerRequest(local, makeDigestSync(joining), clock.now()).message;
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
