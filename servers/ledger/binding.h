// Binding of a key chosen by the caller to the node that owns it: what follows from each reply of the platform.
//
// The platform holds one object per such key. It is created by a conditional create before the call is run, and holds
// a ticket, which names the key's location. If two nodes bind one key at once, only one create succeeds and both use
// that location. If the reply to a successful create is lost, the node reads its own proposal back.

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
    Use, ///< The key is bound: use the binding.
    Write, ///< Try the conditional create.
    Read, ///< Read the existing object.
    Reject, ///< Reject the call; it was not run.
};

class BindingDecision
{
    FESCUEPOND_FIELD(BindingAction, action, withAction);
    FESCUEPOND_FIELD(KeyBinding, binding, withBinding); ///< Set with Use.
    FESCUEPOND_FIELD(CallOutcome, rejection, withRejection); ///< Set with Reject.

public:
    friend auto operator<=>(const BindingDecision &, const BindingDecision &) = default;
};

/// Maximum number of conditional creates per submission.
constexpr int MaxBindingWrites = 2;

/// Rejects the call because the platform did not establish which node owns the key.
BindingDecision rejectBinding(std::string detail);

/// Next step after a conditional create of `proposed`.
BindingDecision afterBindingWrite(StoreStatus status, const KeyBinding &proposed);

/// Next step after a read. `found` is empty if there is no object or its content can't be parsed.
BindingDecision afterBindingRead(StoreStatus status,
                                 const std::optional<KeyBinding> &found,
                                 const KeyBinding &proposed,
                                 int writesLeft);

} // namespace fescuepond
