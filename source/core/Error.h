#pragma once

#include "core/ResultCode.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace lagoontiller::core {

/// \brief An error: result code, message and, for errors in a parsed text, the position.
class Error {
public:
    Error(ResultCode code, std::string message, RunState ran = RunState::NotRun)
        : code(code)
        , message(std::move(message))
        , ran(ran)
    {
    }

    Error(ResultCode code, std::string message, int line, int column)
        : code(code)
        , message(std::move(message))
        , line(line)
        , column(column)
    {
    }

    [[nodiscard]] bool operator==(const Error&) const = default;

    ResultCode code;
    std::string message;
    /// \brief Whether the request that failed was executed.
    RunState ran = RunState::NotRun;
    /// \brief 1-based line and column in the parsed text; 0 when the error has no position.
    int line = 0;
    int column = 0;
};

template <typename T> using Expected = tl::expected<T, Error>;

/// \brief Makes the error result of a function that returns `Expected`.
[[nodiscard]] inline tl::unexpected<Error> failure(
    ResultCode code, std::string message, RunState ran = RunState::NotRun)
{
    return tl::unexpected<Error>(Error(code, std::move(message), ran));
}

} // namespace lagoontiller::core
