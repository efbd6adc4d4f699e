// Suspicions as messages between nodes.

#include "modules/quarantine/suspicionencoding.h"

#include "modules/peer/flatmessage.h"
#include "modules/quarantine/quarantine.capnp.h"

namespace fescuepond
{

namespace
{

void encodeIds(const LossIds &ids, capnp::List<wire::LossId>::Builder builder)
{
    unsigned i = 0;
    for (const LossId &id : ids) {
        builder[i].setHigh(id.high());
        builder[i].setLow(id.low());
        ++i;
    }
}

LossIds decodeIds(capnp::List<wire::LossId>::Reader reader)
{
    LossIds ids;
    for (const auto id : reader) {
        ids.emplace(id.getHigh(), id.getLow());
    }
    return ids;
}

} // namespace

std::string encodeSuspicions(const Suspicions &suspicions)
{
    capnp::MallocMessageBuilder message;
    auto records = message.initRoot<wire::SuspicionNews>().initRecords(static_cast<unsigned>(suspicions.size()));
    unsigned i = 0;
    for (const Suspicion &suspicion : suspicions) {
        auto record = records[i];
        record.setFingerprint(suspicion.fingerprint());
        encodeIds(suspicion.losses(), record.initLosses(static_cast<unsigned>(suspicion.losses().size())));
        encodeIds(suspicion.cleared(), record.initCleared(static_cast<unsigned>(suspicion.cleared().size())));
        ++i;
    }
    return toBytes(message);
}

std::optional<Suspicions> decodeSuspicions(const std::string &bytes)
{
    return readMessage<wire::SuspicionNews>(bytes, [](wire::SuspicionNews::Reader news) {
        Suspicions suspicions;
        for (const auto record : news.getRecords()) {
            suspicions.push_back(Suspicion()
                                     .withFingerprint(record.getFingerprint())
                                     .withLosses(decodeIds(record.getLosses()))
                                     .withCleared(decodeIds(record.getCleared())));
        }
        return suspicions;
    });
}

} // namespace fescuepond
