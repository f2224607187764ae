#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/frontend_requirements.hpp>
#include <cstdint>
#include <string>

namespace lagoontiller::core {

/// \brief Boost.Log backend that writes lines to a file descriptor without blocking.
///
/// Unwritten lines are kept in a bounded buffer; lines that do not fit are dropped, and a later line reports their
/// number. The frontend serialises the calls.
class LogSink : public boost::log::sinks::basic_formatted_sink_backend<char,
                    boost::log::sinks::combine_requirements<boost::log::sinks::synchronized_feeding,
                        boost::log::sinks::flushing>::type> {
public:
    explicit LogSink(int descriptor)
        : descriptor(descriptor)
    {
    }

    /// \brief Whether lines are collected until `flush` or until a block is full, instead of one write per line.
    void setBuffered(bool value) noexcept { this->buffered = value; }
    void consume(const boost::log::record_view& record, const std::string& line);
    /// \brief Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

private:
    int descriptor;
    bool buffered = false;
    std::string pending;
    std::uint64_t dropped = 0;
};

} // namespace lagoontiller::core
