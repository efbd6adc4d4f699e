// Binding of a key chosen by the caller to the node that owns it.

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

BindingDecision reject(Reason reason, std::string detail)
{
    return BindingDecision()
        .withAction(BindingAction::Reject)
        .withRejection(CallOutcome::notRun(reason, std::move(detail)));
}

} // namespace

BindingDecision rejectBinding(std::string detail)
{
    return reject(Reason::PlatformUnavailable, std::move(detail));
}

BindingDecision afterBindingWrite(StoreStatus status, const KeyBinding &proposed)
{
    // After a lost reply or a conflict it is unknown which binding the platform holds, so it has to be read.
    return status == StoreStatus::Ok ? use(proposed) : next(BindingAction::Read);
}

BindingDecision
afterBindingRead(StoreStatus status, const std::optional<KeyBinding> &found, const KeyBinding &proposed, int writesLeft)
{
    if (status == StoreStatus::Ok && found) {
        return found->scopedKey() == proposed.scopedKey()
            ? use(*found)
            : reject(Reason::BadRequest, "another key has the same digest");
    }
    if (status == StoreStatus::Ok) {
        return reject(Reason::Internal, "the platform's object for this key can't be parsed");
    }
    const bool canWrite = status == StoreStatus::NotFound && writesLeft > 0;
    return canWrite ? next(BindingAction::Write)
                    : rejectBinding("the platform did not confirm which node owns the key; send the call again later");
}

} // namespace fescuepond
