#pragma once

#include "edge/FleetLink.h"
#include "proxy/OriginDirectory.h"

namespace eelgrassford::edge {

/// @brief Passes the traffic loop's questions on streams to the fleet link, which has a thread of its own.
class FleetDirectory : public proxy::OriginDirectory {
public:
    FleetDirectory(asio::io_context& control, asio::io_context& traffic, FleetLink& fleet)
        : m_control(control)
        , m_traffic(traffic)
        , m_fleet(fleet)
    {
    }

    void publish(std::vector<dispatch::StreamOrigin> origins, dispatch::OriginCopies copies) override;
    void find(dispatch::StreamKey stream, Finder finder) override;

private:
    asio::io_context& m_control;
    asio::io_context& m_traffic;
    FleetLink& m_fleet;
};

}
