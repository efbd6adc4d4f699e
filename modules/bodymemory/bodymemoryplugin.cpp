// Limits the memory that the bodies of requests and responses take together.

#include "core/kernel/kernel.h"
#include "core/values/bodymemory.h"

namespace fescuepond
{

namespace
{

constexpr std::size_t BytesPerMegabyte = 1024UL * 1024;
/// The part of the process's memory that bodies may take. A body is copied up to three times on its way through a node:
/// when it is encoded, compressed and written.
constexpr std::size_t MemoryDivisor = 16;

class BodyMemoryPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        const std::size_t memory = kernel.settings().memoryLimitMb() * BytesPerMegabyte;
        if (memory > 0) {
            setBodyMemoryLimit(memory / MemoryDivisor);
        }
        kernel.metrics().gauge("fescuepond_body_bytes", {}, [] {
            return static_cast<double>(heldBodyBytes());
        });
        return {};
    }
};

const auto registration = registerPlugin<BodyMemoryPlugin>("bodymemory", {});

} // namespace

} // namespace fescuepond
