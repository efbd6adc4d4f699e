// Makes admission entries from calls.

#include "servers/admission/admissionentry.h"

#include <xxhash.h>

#include <array>

namespace fescuepond
{

AdmissionEntry makeEntry(EntryId id, const CallContext &context)
{
    const std::array<std::uint64_t, 2> root = {context.rootId().high(), context.rootId().low()};
    const std::uint64_t hash = XXH3_64bits(root.data(), sizeof(root));
    return AdmissionEntry()
        .withOrder(ShedOrder().withRank(context.rank()).withRootHash(hash).withEntryId(id))
        .withKind(context.kind())
        .withRootKind(context.rootKind())
        .withKeptShare(context.keptShare())
        .withDeadline(context.deadline());
}

} // namespace fescuepond
