#pragma once

#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace eelgrassford::telemetry {

/// @brief Gathers lines in a bounded buffer and writes them when the descriptor takes them; never waits.
///
/// Lines that find no room are dropped and counted; a line says how many once there is room again.
class BoundedSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    /// @param descriptor file descriptor to write to
    /// @param limit most bytes that wait
    BoundedSink(int descriptor, std::size_t limit);

    std::uint64_t dropped();

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override;

private:
    void append(std::string_view line);

    int m_descriptor;
    std::size_t m_limit;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
};

}
