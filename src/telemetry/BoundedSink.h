#pragma once

#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace eelgrassford::telemetry {

/// @brief Log sink that buffers lines up to a limit and writes them without blocking.
///
/// Lines that do not fit into the buffer are dropped and counted; once the buffer is empty, a line logs their number.
class BoundedSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    /// @param descriptor file descriptor to write to
    /// @param limit capacity of the buffer, in bytes
    BoundedSink(int descriptor, std::size_t limit);

    /// @brief Lines dropped so far.
    std::uint64_t droppedCount();

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override;

private:
    void append(std::string_view line);

    int m_descriptor;
    std::size_t m_limit;
    std::string m_pending;
    std::uint64_t m_droppedCount = 0;
    std::uint64_t m_reportedCount = 0;
};

}
