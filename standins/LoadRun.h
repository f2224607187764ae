#pragma once

#include "core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoontiller::standins {

struct LoadOptions {
    std::vector<std::string> entries;
    /// \brief Customer key; empty sends no Authorization header.
    std::string key;
    std::string model;
    std::uint64_t requests = 1;
    std::uint64_t connections = 1;
    bool stream = false;
    /// \brief `max_tokens` of each request.
    std::uint64_t tokens = 32;
    std::chrono::seconds timeLimit { 30 };
    /// \brief Keeps all streams open at the same time; each connection sends one request.
    bool openStreams = false;
    /// \brief Number of turns of each program.
    std::uint64_t turns = 1;
    std::string nonce;
};

struct LoadResult {
    std::uint64_t answered = 0;
    /// \brief Answers with a status other than 200 or without the end of the stream.
    std::uint64_t refused = 0;
    /// \brief Connections that were lost.
    std::uint64_t lost = 0;
    /// \brief Requests that had not finished at the time limit.
    std::uint64_t unfinished = 0;
    std::uint64_t streamedTokens = 0;
    std::uint64_t peakOpenStreams = 0;
    core::Duration elapsed { 0 };
    /// \brief Latencies of answered requests in microseconds, unordered.
    std::vector<std::int64_t> latencies;
    std::vector<std::int64_t> firstBytes;
    /// \brief Microseconds between two reads with text of one stream; one read may hold several tokens.
    std::vector<std::int64_t> readGaps;
    /// \brief For each answered stream, nanoseconds per token between its first and its last token.
    std::vector<std::int64_t> tokenTimes;
};

/// \brief Sends the requests over the connections, from one thread; ends by count or time.
[[nodiscard]] LoadResult runLoad(const LoadOptions& options);

} // namespace lagoontiller::standins
