#pragma once

#include "peer/Transport.h"
#include <memory>

namespace asio {
class io_context;
}

namespace eelgrassford::peer {

/// @brief Frames as binary WebSocket messages. All calls and events are on the io_context's thread.
std::unique_ptr<Transport> makeWebSocketTransport(asio::io_context& context, Transport::Events events);

}
