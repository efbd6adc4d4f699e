// Transfer of bodies between nodes outside the message that they belong to.

#include "modules/peer/bodytransfer.h"

#include <capnp/message.h>
#include <kj/debug.h>

#include <algorithm>
#include <string>
#include <utility>

namespace fescuepond
{

namespace
{

/// Short enough that other messages on the connection don't wait long behind a piece.
constexpr std::uint32_t PieceBytes = 65'536;
constexpr std::size_t FixedWords = 16; ///< Of a message besides the piece.
/// Until a body that waits for room tries again.
constexpr kj::Duration RetryPause = 20 * kj::MILLISECONDS;

class BodySourceServer final : public wire::BodySource::Server
{
public:
    explicit BodySourceServer(Body body)
        : m_body(std::move(body))
    {
    }

    kj::Promise<void> read(ReadContext context) override
    {
        const std::string &bytes = m_body.bytes();
        const auto params = context.getParams();
        const std::size_t offset = std::min<std::size_t>(params.getOffset(), bytes.size());
        const std::size_t count = std::min<std::size_t>({params.getCount(), bytes.size() - offset, PieceBytes});
        auto results = context.getResults(capnp::MessageSize{count / sizeof(capnp::word) + FixedWords, 0});
        results.setBytes({reinterpret_cast<const capnp::byte *>(bytes.data()) + offset, count});
        return kj::READY_NOW;
    }

private:
    const Body m_body;
};

/// A body that is being fetched.
class Fetcher
{
public:
    Fetcher(BodyFetch fetch, kj::Timer &timer)
        : m_fetch(kj::mv(fetch))
        , m_timer(timer)
        , m_end(timer.now() + m_fetch.maxWait)
    {
    }

    kj::Promise<std::optional<Body>> run()
    {
        KJ_REQUIRE(m_fetch.size <= m_fetch.maxBytes, "the body exceeds the size limit");
        if (m_charge.add(m_fetch.size)) {
            m_bytes.reserve(m_fetch.size);
            return readOn();
        }
        if (m_timer.now() >= m_end) {
            return std::optional<Body>();
        }
        return m_timer.afterDelay(RetryPause).then([this] {
            return run();
        });
    }

private:
    kj::Promise<std::optional<Body>> readOn()
    {
        if (m_bytes.size() == m_fetch.size) {
            Body body(std::move(m_bytes), std::move(m_charge));
            KJ_REQUIRE(body.digest() == m_fetch.digest, "the body does not match its digest");
            return std::optional(std::move(body));
        }
        auto request = m_fetch.source.readRequest();
        request.setOffset(m_bytes.size());
        request.setCount(PieceBytes);
        return request.send().then([this](auto response) {
            const auto piece = response.getBytes();
            const bool isExpected = piece.size() > 0 && piece.size() <= m_fetch.size - m_bytes.size();
            KJ_REQUIRE(isExpected, "a piece of the body has a wrong size");
            m_bytes.append(reinterpret_cast<const char *>(piece.begin()), piece.size());
            return readOn();
        });
    }

    BodyFetch m_fetch;
    kj::Timer &m_timer;
    const kj::TimePoint m_end; ///< Of the wait for room.
    BodyCharge m_charge; ///< Of the whole body, once there is room.
    std::string m_bytes;
};

} // namespace

wire::BodySource::Client sourceOf(const Body &body)
{
    return kj::heap<BodySourceServer>(body);
}

kj::Promise<std::optional<Body>> fetchBody(BodyFetch fetch, kj::Timer &timer)
{
    auto fetcher = kj::heap<Fetcher>(kj::mv(fetch), timer);
    auto body = fetcher->run();
    return body.attach(kj::mv(fetcher));
}

} // namespace fescuepond
