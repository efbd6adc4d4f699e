// The requests of one connection that were read and are not yet answered.

#include "modules/http/requestpipeline.h"

#include <algorithm>
#include <utility>

namespace fescuepond
{

bool RequestPipeline::canReadNext() const
{
    const bool areSafe = std::all_of(m_requests.begin(), m_requests.end(), [](const OpenRequest &request) {
        return request.isSafe;
    });
    return !m_isEnding && areSafe && m_requests.size() < MaxConcurrentRequests;
}

void RequestPipeline::add(OpenRequest request)
{
    m_isEnding = m_isEnding || !request.wantsKeepAlive;
    m_requests.push_back(std::move(request));
}

bool RequestPipeline::complete(const AttemptId &id, const HttpResponse &response)
{
    const auto found = std::find_if(m_requests.begin(), m_requests.end(), [&](const OpenRequest &request) {
        return request.id == id;
    });
    if (found == m_requests.end()) {
        return false;
    }
    found->response = response;
    if (m_isWriting || !m_requests.front().response) {
        return false;
    }
    m_isWriting = true;
    return true;
}

std::optional<ResponseToWrite> RequestPipeline::nextToWrite(bool isDraining)
{
    if (m_requests.empty() || !m_requests.front().response) {
        m_isWriting = false;
        return std::nullopt;
    }
    const OpenRequest request = std::move(m_requests.front());
    m_requests.pop_front();
    const bool isLast = m_requests.empty() && !isBeingRead();
    const bool keepAlive = request.wantsKeepAlive && !(isLast && (isDraining || m_isEnding));
    m_isEnding = m_isEnding || !keepAlive;
    return ResponseToWrite{*request.response, request.isHead, keepAlive};
}

std::deque<OpenRequest> RequestPipeline::takeAll()
{
    return std::exchange(m_requests, {});
}

std::vector<AttemptId> RequestPipeline::unanswered() const
{
    std::vector<AttemptId> ids;
    for (const OpenRequest &request : m_requests) {
        if (!request.response) {
            ids.push_back(request.id);
        }
    }
    return ids;
}

} // namespace fescuepond
