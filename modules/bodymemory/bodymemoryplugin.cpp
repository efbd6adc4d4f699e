// Limits the memory that the bodies of requests and responses take together.

#include "core/kernel/kernel.h"
#include "core/values/bodymemory.h"

#include <malloc.h>

namespace fescuepond
{

namespace
{

constexpr std::size_t BytesPerMegabyte = 1024UL * 1024;
/// The part of the process's memory that bodies may take. A body is copied several times on its way through a node:
/// when it is read, encoded, compressed and written.
constexpr std::size_t MemoryDivisor = 16;

/// Buffers from this size on, in bytes, are returned to the operating system when they are freed. Without it, the C
/// library keeps them in the arena of their thread, and the memory of a process grows far beyond what its bodies take.
constexpr int ReturnedBufferBytes = 131'072;

class BodyMemoryPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        const std::size_t memory = kernel.settings().memoryLimitMb() * BytesPerMegabyte;
        if (memory > 0) {
            setBodyMemoryLimit(memory / MemoryDivisor);
            mallopt(M_MMAP_THRESHOLD, ReturnedBufferBytes);
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
