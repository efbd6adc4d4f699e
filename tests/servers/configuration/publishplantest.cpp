// Publishing by several operators at once, in random interleavings, against a store that loses answers. Guards against
// a publisher that reports the wrong outcome of its write, and against changes of others that are overwritten
// unnoticed.

#include "servers/configuration/publishplan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace fescuepond
{

namespace
{

ServiceDeclaration service(const std::string &name, int deadlineMs)
{
    const auto kind = KindDeclaration().withName("k").withDeadline(std::chrono::milliseconds(deadlineMs));
    return ServiceDeclaration().withName(name).withKinds({kind});
}

/// The object at the platform. Its version increases in random steps, since other objects are written in between.
class ModelStore
{
public:
    const PublishedConfiguration &read() const
    {
        return m_current;
    }
    bool write(const PublishedConfiguration &next, ConfigurationVersion expected, ConfigurationVersion step)
    {
        if (m_current.configuration().version() != expected) {
            return false;
        }
        m_current = next.withConfiguration(next.configuration().withVersion(expected + step));
        m_accepted.insert(next.publication().history().front().nonce());
        return true;
    }
    bool hasAccepted(const PublicationNonce &nonce) const
    {
        return m_accepted.contains(nonce);
    }

private:
    PublishedConfiguration m_current;
    std::set<PublicationNonce> m_accepted;
};

/// State of a publisher between two calls to the store.
struct ModelPublisher {
    PublishRequest m_request;
    PublishedConfiguration m_next;
    ConfigurationVersion m_base = 0;
    bool m_hasPlanned = false;
    std::optional<WriteOutcome> m_outcome; ///< Set once the outcome of the write is known.
    bool m_isRejected = false;
};

PublishRequest randomRequest(std::uint64_t number)
{
    const int name = *rc::gen::inRange(0, 3);
    return PublishRequest()
        .withNonce(PublicationNonce(1, number + 1))
        .withOperatorName("operator" + std::to_string(*rc::gen::inRange(0, 3)))
        .withServices({{std::to_string(name), service(std::to_string(name), static_cast<int>(number) + 1)}})
        .withMissingServices(MissingServicesPolicy::Keep);
}

void step(ModelPublisher &publisher, ModelStore &store)
{
    if (!publisher.m_hasPlanned) {
        const PublishedConfiguration &current = store.read();
        // Each publisher names the version that it reads as its base, so that only the writes race.
        const auto request = publisher.m_request.withBaseVersion(current.configuration().version());
        const PublishPlan plan = planPublication(current, request);
        publisher.m_hasPlanned = true;
        publisher.m_isRejected = plan.verdict() != PublishVerdict::Write;
        publisher.m_next = plan.next();
        publisher.m_base = current.configuration().version();
        return;
    }
    const bool isAccepted =
        store.write(publisher.m_next, publisher.m_base, *rc::gen::inRange<ConfigurationVersion>(1, 5));
    const bool isAnswerLost = *rc::gen::inRange(0, 3) == 0;
    if (isAccepted && !isAnswerLost) {
        publisher.m_outcome = WriteOutcome::InForce;
        return;
    }
    const WriteOutcome outcome = outcomeOfWrite(store.read(), publisher.m_request.nonce(), publisher.m_base);
    if (outcome != WriteOutcome::Pending) {
        publisher.m_outcome = outcome;
    }
}

} // namespace

RC_GTEST_PROP(PublishPlan, ReportedOutcomeOfAWriteMatchesTheStore, ())
{
    ModelStore store;
    std::vector<ModelPublisher> publishers(*rc::gen::inRange<std::size_t>(2, 8));
    for (std::size_t i = 0; i < publishers.size(); ++i) {
        publishers[i].m_request = randomRequest(i);
    }
    for (int round = 0; round < 60; ++round) {
        ModelPublisher &next = publishers[*rc::gen::inRange<std::size_t>(0, publishers.size())];
        if (!next.m_outcome && !next.m_isRejected) {
            step(next, store);
        }
    }
    std::map<ConfigurationVersion, int> winners;
    for (const ModelPublisher &publisher : publishers) {
        const bool isAccepted = store.hasAccepted(publisher.m_request.nonce());
        if (!publisher.m_outcome) {
            continue;
        }
        const bool claimsApplied =
            *publisher.m_outcome == WriteOutcome::InForce || *publisher.m_outcome == WriteOutcome::Superseded;
        RC_ASSERT(claimsApplied == isAccepted);
        RC_ASSERT(*publisher.m_outcome != WriteOutcome::Unknown);
        winners[publisher.m_base] += isAccepted ? 1 : 0;
    }
    for (const auto &[base, count] : winners) {
        RC_ASSERT(count <= 1);
    }
}

TEST(PublishPlan, OverwritingChangesOfOthersNeedsTheirVersionAsBase)
{
    const auto first = PublishRequest()
                           .withNonce(PublicationNonce(1, 1))
                           .withOperatorName("anna")
                           .withTime("T1")
                           .withServices({{"yard", service("yard", 1)}, {"quarry", service("quarry", 1)}});
    auto current = planPublication({}, first).next();
    current = current.withConfiguration(current.configuration().withVersion(9));
    auto second = first.withNonce(PublicationNonce(1, 2)).withOperatorName("bat");
    second = second.withServices({{"yard", service("yard", 2)}, {"quarry", service("quarry", 1)}});

    const PublishPlan rejected = planPublication(current, second);
    EXPECT_EQ(rejected.verdict(), PublishVerdict::Conflict);
    EXPECT_NE(rejected.message().find("yard (by anna at T1)"), std::string::npos) << rejected.message();
    EXPECT_EQ(planPublication(current, second.withBaseVersion(9)).verdict(), PublishVerdict::Write);
    EXPECT_EQ(planPublication(current, second.withBaseVersion(8)).verdict(), PublishVerdict::Conflict);
    const auto same = second.withServices(first.services());
    EXPECT_EQ(planPublication(current, same).verdict(), PublishVerdict::Unchanged);
}

TEST(PublishPlan, OutcomeIsUnknownIfTheHistoryIsTooShort)
{
    PublishedConfiguration current;
    for (std::uint64_t i = 1; i <= 50; ++i) {
        const auto request = PublishRequest()
                                 .withNonce(PublicationNonce(2, i))
                                 .withBaseVersion(i - 1)
                                 .withServices({{"yard", service("yard", static_cast<int>(i))}});
        current = planPublication(current, request).next();
        current = current.withConfiguration(current.configuration().withVersion(i));
    }
    EXPECT_EQ(outcomeOfWrite(current, PublicationNonce(2, 2), 1), WriteOutcome::Unknown);
    EXPECT_EQ(outcomeOfWrite(current, PublicationNonce(2, 49), 48), WriteOutcome::Superseded);
    EXPECT_EQ(outcomeOfWrite(current, PublicationNonce(9, 9), 48), WriteOutcome::NeverApplied);
    EXPECT_EQ(outcomeOfWrite(current, PublicationNonce(2, 50), 49), WriteOutcome::InForce);
}

} // namespace fescuepond
