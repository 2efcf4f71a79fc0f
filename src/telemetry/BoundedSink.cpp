#include "telemetry/BoundedSink.h"

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace eelgrassford::telemetry {

BoundedSink::BoundedSink(int descriptor, std::size_t limit)
    : m_descriptor(descriptor)
    , m_limit(limit)
{
}

std::uint64_t BoundedSink::droppedCount()
{
    const std::scoped_lock lock(mutex_);
    return m_droppedCount;
}

void BoundedSink::sink_it_(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_pending.size() + line.size() > m_limit) {
        ++m_droppedCount;
        return;
    }
    m_pending.append(line.data(), line.size());
}

void BoundedSink::flush_()
{
    while (true) {
        if (m_pending.empty() && m_droppedCount > m_reportedCount) {
            m_pending
                = "level=warning event=log-dropped lines=" + std::to_string(m_droppedCount - m_reportedCount) + "\n";
            m_reportedCount = m_droppedCount;
        }
        if (m_pending.empty())
            return;
        // A writable descriptor, also of a pipe, accepts this many bytes without blocking.
        pollfd state { m_descriptor, POLLOUT, 0 };
        if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0)
            return;
        const auto written = write(m_descriptor, m_pending.data(), std::min<std::size_t>(m_pending.size(), PIPE_BUF));
        if (written <= 0)
            return;
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

}
