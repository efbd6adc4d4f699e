// Limits the memory that is held for callers and the backend server.

#include "core/kernel/kernel.h"
#include "core/values/bodymemory.h"

#include <malloc.h>

namespace fescuepond
{

namespace
{

/// The part of the process's memory that long bodies may take; all that is charged may take twice that. A body without
/// a length takes several times its size while it is read.
constexpr std::size_t MemoryDivisor = 16;

/// Buffers from this size on, in bytes, are returned to the operating system when they are freed. Without it, the C
/// library keeps them in the arena of their thread, and the memory of a process grows far beyond what its bodies take.
constexpr int ReturnedBufferBytes = 131'072;

class BodyMemoryPlugin final : public Plugin
{
public:
    Result<void> start(Kernel &kernel) override
    {
        if (kernel.settings().memoryLimitMb() > 0) {
            setBodyMemoryLimit(memoryPart(kernel.settings(), MemoryDivisor));
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
