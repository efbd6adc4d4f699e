// Property tests of publishing: random interleavings of publishers against a store that loses answers.

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

/// The platform's object, with versions that grow by random steps as other objects are written in between.
class ModelStore
{
public:
    const PublishedConfiguration &read() const
    {
        return m_current;
    }
    bool write(const PublishedConfiguration &next, ObjectVersion expected, ObjectVersion step)
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

/// A publisher between two of its calls to the store.
struct ModelPublisher {
    PublishRequest m_request;
    PublishedConfiguration m_next;
    ObjectVersion m_base = 0;
    bool m_hasPlanned = false;
    std::optional<WriteFate> m_fate; ///< Set once it knows what became of its write.
    bool m_refused = false;
};

PublishRequest randomRequest(std::uint64_t number)
{
    const int name = *rc::gen::inRange(0, 3);
    return PublishRequest()
        .withNonce(PublicationNonce(1, number + 1))
        .withOperatorName("operator" + std::to_string(*rc::gen::inRange(0, 3)))
        .withServices({{std::to_string(name), service(std::to_string(name), static_cast<int>(number) + 1)}})
        .withMissingServices(MissingServices::Keep);
}

void step(ModelPublisher &publisher, ModelStore &store)
{
    if (!publisher.m_hasPlanned) {
        const PublishedConfiguration &current = store.read();
        // Each has seen the version that it reads: what is raced for here is the write.
        const auto request = publisher.m_request.withBaseVersion(current.configuration().version());
        const PublishPlan plan = planPublication(current, request);
        publisher.m_hasPlanned = true;
        publisher.m_refused = plan.verdict() != PublishVerdict::Write;
        publisher.m_next = plan.next();
        publisher.m_base = current.configuration().version();
        return;
    }
    const bool isAccepted = store.write(publisher.m_next, publisher.m_base, *rc::gen::inRange<ObjectVersion>(1, 5));
    const bool isAnswerLost = *rc::gen::inRange(0, 3) == 0;
    if (isAccepted && !isAnswerLost) {
        publisher.m_fate = WriteFate::InForce;
        return;
    }
    const WriteFate fate = fateOfWrite(store.read(), publisher.m_request.nonce(), publisher.m_base);
    if (fate != WriteFate::NotYet) {
        publisher.m_fate = fate;
    }
}

} // namespace

RC_GTEST_PROP(PublishPlan, WhatAPublisherLearnsOfItsWriteIsTrue, ())
{
    ModelStore store;
    std::vector<ModelPublisher> publishers(*rc::gen::inRange<std::size_t>(2, 8));
    for (std::size_t i = 0; i < publishers.size(); ++i) {
        publishers[i].m_request = randomRequest(i);
    }
    for (int round = 0; round < 60; ++round) {
        ModelPublisher &next = publishers[*rc::gen::inRange<std::size_t>(0, publishers.size())];
        if (!next.m_fate && !next.m_refused) {
            step(next, store);
        }
    }
    std::map<ObjectVersion, int> winners;
    for (const ModelPublisher &publisher : publishers) {
        const bool isAccepted = store.hasAccepted(publisher.m_request.nonce());
        if (!publisher.m_fate) {
            continue;
        }
        const bool claimsEffect = *publisher.m_fate == WriteFate::InForce || *publisher.m_fate == WriteFate::Superseded;
        RC_ASSERT(claimsEffect == isAccepted);
        RC_ASSERT(*publisher.m_fate != WriteFate::Unknown);
        winners[publisher.m_base] += isAccepted ? 1 : 0;
    }
    for (const auto &[base, count] : winners) {
        RC_ASSERT(count <= 1);
    }
}

TEST(PublishPlan, ChangesOfOthersNeedTheirVersionNamed)
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

    const PublishPlan refused = planPublication(current, second);
    EXPECT_EQ(refused.verdict(), PublishVerdict::Conflict);
    EXPECT_NE(refused.message().find("yard (by anna at T1)"), std::string::npos) << refused.message();
    EXPECT_EQ(planPublication(current, second.withBaseVersion(9)).verdict(), PublishVerdict::Write);
    EXPECT_EQ(planPublication(current, second.withBaseVersion(8)).verdict(), PublishVerdict::Conflict);
    const auto same = second.withServices(first.services());
    EXPECT_EQ(planPublication(current, same).verdict(), PublishVerdict::Unchanged);
}

TEST(PublishPlan, AWriterBeyondTheHistoryIsNotToldALie)
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
    EXPECT_EQ(fateOfWrite(current, PublicationNonce(2, 2), 1), WriteFate::Unknown);
    EXPECT_EQ(fateOfWrite(current, PublicationNonce(2, 49), 48), WriteFate::Superseded);
    EXPECT_EQ(fateOfWrite(current, PublicationNonce(9, 9), 48), WriteFate::Overtaken);
    EXPECT_EQ(fateOfWrite(current, PublicationNonce(2, 50), 49), WriteFate::InForce);
}

} // namespace fescuepond
