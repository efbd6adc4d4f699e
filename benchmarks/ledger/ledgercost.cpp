// Measures the cost of a keyed call in the ledger of the key's owner: time per key, memory per record, and bytes on the
// wire per record that is transferred to a successor.

#include "modules/ledger/ledgerencoding.h"
#include "servers/ledger/keyledger.h"

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <malloc.h>

#include <chrono>
#include <cstddef>
#include <string>

DEFINE_uint64(records, 32'768, "Number of records in the ledger.");
DEFINE_uint64(rounds, 10, "Number of times that all records are replaced.");
DEFINE_uint64(answer_bytes, 200, "Length of an answer's body in bytes.");

using namespace fescuepond;

namespace
{

using BenchmarkClock = std::chrono::steady_clock;

constexpr Incarnation Owner(1, 1);
constexpr TimePoint Now = TimePoint(std::chrono::hours(1));
constexpr Duration CallTimeout = std::chrono::seconds(2);

LedgerLimits limits()
{
    constexpr std::size_t UnlimitedBytes = std::size_t(1) << 40;
    return LedgerLimits()
        .withMaxRecords(FLAGS_records)
        .withMaxAnswerBytes(UnlimitedBytes)
        .withMaxAnswerBytesEach(UnlimitedBytes)
        .withLifetime(std::chrono::minutes(15));
}

CallRequest booking(std::size_t number)
{
    return CallRequest()
        .withService("dispatch")
        .withMethod("POST")
        .withPath("/book")
        .withBody(Body(fmt::format("{:0200}", number)));
}

CallOutcome answer(std::size_t number)
{
    const std::size_t length = FLAGS_answer_bytes;
    return CallOutcome()
        .withState(CallState::Answered)
        .withStatus(200)
        .withHeaders({{"content-type", "application/json"}})
        .withBody(Body(fmt::format("{:0{}}", number, length)));
}

std::size_t heapBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// Runs calls with `count` new keys; each key is submitted again after its call has finished.
void runKeys(KeyLedger &ledger, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        const KeySerial serial = ledger.issueSerial();
        const Fingerprint fingerprint = fingerprintOf(booking(i));
        ledger.submit(serial, fingerprint, {}, Now + CallTimeout, Now);
        ledger.finish(serial, answer(i), Now);
        ledger.submit(serial, fingerprint, {}, Now + CallTimeout, Now);
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::size_t before = heapBytes();
    KeyLedger ledger(
        Owner,
        limits(),
        [](const CallId &) {
            return false;
        },
        Now);
    runKeys(ledger, FLAGS_records);
    const std::size_t perRecord = (heapBytes() - before) / ledger.size();

    const auto begin = BenchmarkClock::now();
    runKeys(ledger, FLAGS_records * FLAGS_rounds);
    const auto elapsed = std::chrono::duration_cast<std::chrono::nanoseconds>(BenchmarkClock::now() - begin);
    const auto perKey = static_cast<std::size_t>(elapsed.count()) / (FLAGS_records * FLAGS_rounds);

    ledger.close();
    constexpr std::size_t BatchRecords = 64;
    const std::string batch = encodeRecordBatch(ledger.snapshot(Now), 0, BatchRecords);
    fmt::print("records={} bytes_per_record={} ns_per_key_with_resend={} handover_bytes_per_record={}\n",
               ledger.size(),
               perRecord,
               perKey,
               batch.size() / BatchRecords);
    return 0;
}
