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

std::uint64_t BoundedSink::dropped()
{
    const std::scoped_lock lock(mutex_);
    return m_dropped;
}

void BoundedSink::sink_it_(const spdlog::details::log_msg& message)
{
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    if (m_pending.size() + line.size() > m_limit) {
        ++m_dropped;
        return;
    }
    m_pending.append(line.data(), line.size());
}

void BoundedSink::flush_()
{
    while (true) {
        if (m_pending.empty() && m_dropped > m_reported) {
            m_pending = "level=warning event=log-dropped lines=" + std::to_string(m_dropped - m_reported) + "\n";
            m_reported = m_dropped;
        }
        if (m_pending.empty())
            return;
        // A descriptor that is writable takes this many bytes without waiting, also where it is a pipe.
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
