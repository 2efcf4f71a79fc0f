#pragma once

#include "common/ScopeExit.h"
#include "daemon/SystemClock.h"
#include <asio.hpp>
#include <functional>

namespace eelgrassford::daemon {

/// @brief Calls a function periodically with the current time, until the timer is destroyed.
class PeriodicTimer {
public:
    using Action = std::function<void(TimePoint now)>;

    PeriodicTimer(asio::io_context& context, Duration interval, Action action)
        : m_timer(context)
        , m_interval(interval)
        , m_action(std::move(action))
    {
    }

    /// @brief Starts the timer; the first call comes after one interval.
    ///
    /// Each interval starts when the previous call has returned, so a slow call delays those after it.
    void start()
    {
        m_timer.expires_after(m_interval);
        m_timer.async_wait([this](const asio::error_code& error) {
            if (error)
                return;
            const ScopeExit restart([this] { start(); });
            m_action(currentTime());
        });
    }

private:
    asio::steady_timer m_timer;
    Duration m_interval;
    Action m_action;
};

}
