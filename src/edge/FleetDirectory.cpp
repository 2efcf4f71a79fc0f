#include "edge/FleetDirectory.h"

#include "daemon/SystemClock.h"

namespace eelgrassford::edge {

void FleetDirectory::publish(std::vector<dispatch::StreamOrigin> origins, dispatch::OriginCopies copies)
{
    asio::post(m_control, [this, origins = std::move(origins), copies] {
        m_fleet.publishOrigins(origins, copies, daemon::currentTime());
    });
}

void FleetDirectory::find(dispatch::StreamKey stream, Finder finder)
{
    asio::post(m_control, [this, stream, finder = std::move(finder)] {
        const auto answer = [&traffic = m_traffic, finder](std::optional<std::uint64_t> software) {
            asio::post(traffic, [finder, software] { finder(software); });
        };
        m_fleet.findOrigin(stream, answer, daemon::currentTime());
    });
}

}
