#pragma once

#include "peer/Transport.h"
#include <memory>

namespace asio {
class io_context;
}

namespace eelgrassford::peer {

/// @brief Creates a transport that carries each frame as one binary WebSocket message.
///
/// All functions must be called on the thread that runs @a context; events are raised on the same thread.
std::unique_ptr<Transport> makeWebSocketTransport(asio::io_context& context, Transport::Events events);

}
