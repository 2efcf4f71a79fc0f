#pragma once

#include "daemon/SystemClock.h"
#include <asio.hpp>
#include <functional>

namespace eelgrassford::daemon {

/// @brief Calls a function with the present time, again and again with a pause in between, until it is destroyed.
class PeriodicTimer {
public:
    using Action = std::function<void(TimePoint now)>;

    PeriodicTimer(asio::io_context& context, Duration interval, Action action)
        : m_timer(context)
        , m_interval(interval)
        , m_action(std::move(action))
    {
    }

    /// @brief Begins with the first pause.
    void start()
    {
        m_timer.expires_after(m_interval);
        m_timer.async_wait([this](const asio::error_code& error) {
            if (error)
                return;
            m_action(currentTime());
            start();
        });
    }

private:
    asio::steady_timer m_timer;
    Duration m_interval;
    Action m_action;
};

}
