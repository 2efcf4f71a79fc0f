#pragma once

#include "telemetry/DecisionLog.h"
#include <asio.hpp>
#include <string_view>

namespace eelgrassford::daemon {

/// @brief Runs the handlers of an event loop until it is stopped.
///
/// An exception ends the handler that it leaves, with a log line, and not the process with the requests of all other
/// callers.
/// @param name name of the loop in the log
inline void runEventLoop(asio::io_context& context, std::string_view name)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (const std::exception& error) {
            telemetry::logError("handler-failed", { { "loop", name }, { "detail", error.what() } });
        }
    }
}

}
