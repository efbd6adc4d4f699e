// Binding of a key that a caller chose to its home.

#include "servers/ledger/binding.h"

namespace fescuepond
{

namespace
{

BindingDecision use(const KeyBinding &binding)
{
    return BindingDecision().withAction(BindingAction::Use).withBinding(binding);
}

BindingDecision next(BindingAction action)
{
    return BindingDecision().withAction(action);
}

BindingDecision refuse(Reason reason, std::string detail)
{
    return BindingDecision()
        .withAction(BindingAction::Refuse)
        .withRefusal(CallOutcome::notRun(reason, std::move(detail)));
}

} // namespace

BindingDecision refuseBinding(std::string detail)
{
    return refuse(Reason::PlatformUnavailable, std::move(detail));
}

BindingDecision afterBindingWrite(StoreStatus status, const KeyBinding &proposed)
{
    // A lost answer and a conflict look the same from here: only a read tells what stands there.
    return status == StoreStatus::Ok ? use(proposed) : next(BindingAction::Read);
}

BindingDecision
afterBindingRead(StoreStatus status, const std::optional<KeyBinding> &found, const KeyBinding &proposed, int writesLeft)
{
    if (status == StoreStatus::Ok && found) {
        return found->scopedKey() == proposed.scopedKey()
            ? use(*found)
            : refuse(Reason::BadRequest, "another key has the same digest");
    }
    if (status == StoreStatus::Ok) {
        return refuse(Reason::Internal, "the platform's object for this key can't be read");
    }
    const bool mayWrite = status == StoreStatus::NotFound && writesLeft > 0;
    return mayWrite ? next(BindingAction::Write)
                    : refuseBinding("the platform can't say who may run this key; send it again later");
}

} // namespace fescuepond
