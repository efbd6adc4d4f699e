// Encoding of suspicions as messages between nodes.

#include "modules/quarantine/suspicionencoding.h"

#include "modules/peer/flatmessage.h"
#include "modules/peer/wireencoding.h"
#include "modules/quarantine/quarantine.capnp.h"

#include <kj/exception.h>

namespace fescuepond
{

namespace
{

void encodeIds(const LossIds &ids, capnp::List<wire::Id>::Builder builder)
{
    unsigned i = 0;
    for (const LossId &id : ids) {
        encode(id, builder[i]);
        ++i;
    }
}

LossIds decodeIds(capnp::List<wire::Id>::Reader reader)
{
    LossIds ids;
    for (const auto id : reader) {
        ids.insert(decodeId<LossId>(id));
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
        encode(suspicion.fingerprint(), record.initFingerprint());
        encodeIds(suspicion.losses(), record.initLosses(static_cast<unsigned>(suspicion.losses().size())));
        encodeIds(suspicion.cleared(), record.initCleared(static_cast<unsigned>(suspicion.cleared().size())));
        ++i;
    }
    return toBytes(message);
}

std::optional<Suspicions> decodeSuspicions(const std::string &bytes)
{
    try {
        FlatMessageReader message(bytes);
        Suspicions suspicions;
        for (const auto record : message.root<wire::SuspicionNews>().getRecords()) {
            suspicions.push_back(Suspicion()
                                     .withFingerprint(decodeId<Fingerprint>(record.getFingerprint()))
                                     .withLosses(decodeIds(record.getLosses()))
                                     .withCleared(decodeIds(record.getCleared())));
        }
        return suspicions;
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

} // namespace fescuepond
