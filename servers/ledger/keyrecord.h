// The record of one key, kept by its owner.

#pragma once

#include "core/value.h"
#include "core/values/call.h"
#include "servers/ledger/key.h"

#include <compare>
#include <string>
#include <vector>

namespace fescuepond
{

enum class KeyState {
    Running, ///< Started; its outcome is not known yet.
    Finished, ///< Its outcome is stored and answers further submissions of the key.
};

/// A key that was started. A key that has no record and a serial not below the watermark was never started.
class KeyRecord
{
    FESCUEPOND_FIELD(KeySerial, serial, withSerial);
    FESCUEPOND_FIELD(Fingerprint, fingerprint, withFingerprint);
    FESCUEPOND_FIELD(KeyState, state, withState);
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set when finished: answered or unknown, never not-run.
    FESCUEPOND_FIELD(TimePoint, changedAt, withChangedAt);
    FESCUEPOND_FIELD(std::string, derivedName, withDerivedName); ///< Of a child call's key; otherwise empty.

public:
    friend auto operator<=>(const KeyRecord &, const KeyRecord &) = default;
};

using KeyRecords = std::vector<KeyRecord>;

/// The state of a ledger that is transferred to a successor.
class LedgerSnapshot
{
    FESCUEPOND_FIELD(Incarnation, owner, withOwner);
    FESCUEPOND_FIELD(KeySerial, watermark, withWatermark);
    FESCUEPOND_FIELD(KeySerial, nextSerial, withNextSerial);
    FESCUEPOND_FIELD(KeyRecords, records, withRecords);

public:
    /// Whether a ledger can be built from it: all records are finished, and their serials are distinct and were issued.
    bool isConsistent() const;
    friend auto operator<=>(const LedgerSnapshot &, const LedgerSnapshot &) = default;
};

} // namespace fescuepond
