// The record of one key at its owner, as an immutable value.

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
    Finished, ///< Its outcome is kept for re-sends.
};

/// A key that was started. A key without a record, whose serial is not below the watermark, was never started.
class KeyRecord
{
    FESCUEPOND_FIELD(KeySerial, serial, withSerial);
    FESCUEPOND_FIELD(Fingerprint, fingerprint, withFingerprint);
    FESCUEPOND_FIELD(KeyState, state, withState);
    FESCUEPOND_FIELD(CallOutcome, outcome, withOutcome); ///< Set when ended: answered or unknown, never not-run.
    FESCUEPOND_FIELD(TimePoint, changedAt, withChangedAt);
    FESCUEPOND_FIELD(std::string, derivedName, withDerivedName); ///< Of a child call's key; else empty.

public:
    friend auto operator<=>(const KeyRecord &, const KeyRecord &) = default;
};

using KeyRecords = std::vector<KeyRecord>;

/// Everything that a owner hands over to its successor.
class LedgerSnapshot
{
    FESCUEPOND_FIELD(Incarnation, owner, withOwner);
    FESCUEPOND_FIELD(KeySerial, watermark, withWatermark);
    FESCUEPOND_FIELD(KeySerial, nextSerial, withNextSerial);
    FESCUEPOND_FIELD(KeyRecords, records, withRecords);

public:
    /// Whether a ledger can be made of it: all records have ended, and their serials were issued, each once.
    bool isConsistent() const;
    friend auto operator<=>(const LedgerSnapshot &, const LedgerSnapshot &) = default;
};

} // namespace fescuepond
