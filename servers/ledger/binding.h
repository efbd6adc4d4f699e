// Binding of a key that a caller chose to its owner: what each answer of the platform means.
//
// The platform holds one object for each such key, made by a conditional create before anything runs. The object names
// a location, which is a ticket of the owner. Two nodes that bind one key at once thus end with the same location, and
// a node whose create took effect unseen only reads its own proposal back.

#pragma once

#include "core/pipeline/interfaces.h"
#include "servers/ledger/key.h"

#include <cstdint>
#include <optional>

namespace fescuepond
{

/// The platform's object for one key.
class KeyBinding
{
    FESCUEPOND_FIELD(std::string, scopedKey, withScopedKey);
    FESCUEPOND_FIELD(Ticket, ticket, withTicket);

public:
    friend auto operator<=>(const KeyBinding &, const KeyBinding &) = default;
};

enum class BindingAction {
    Use, ///< The binding holds.
    Write, ///< Try the conditional create.
    Read, ///< Read what stands there.
    Reject, ///< Nothing was run.
};

class BindingDecision
{
    FESCUEPOND_FIELD(BindingAction, action, withAction);
    FESCUEPOND_FIELD(KeyBinding, binding, withBinding); ///< Set with Use.
    FESCUEPOND_FIELD(CallOutcome, rejection, withRejection); ///< Set with Reject.

public:
    friend auto operator<=>(const BindingDecision &, const BindingDecision &) = default;
};

/// Greatest number of conditional creates for one submission.
constexpr int MaxBindingWrites = 2;

/// The platform can't say who may run the key; nothing was run.
BindingDecision rejectBinding(std::string detail);

/// What follows a conditional create of `proposed`.
BindingDecision afterBindingWrite(StoreStatus status, const KeyBinding &proposed);

/// What follows a read; `found` is nothing when there is no object or its text can't be read.
BindingDecision afterBindingRead(StoreStatus status,
                                 const std::optional<KeyBinding> &found,
                                 const KeyBinding &proposed,
                                 int writesLeft);

} // namespace fescuepond
