#pragma once

#include "core/ResultCode.h"

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace lagoontiller::core {

/// \brief A failure: numbered code, message and, for faults in a text, its position.
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
    /// \brief 1-based position in the text; 0 where the failure has none.
    int line = 0;
    int column = 0;
};

template <typename T> using Expected = tl::expected<T, Error>;

/// \brief Shorthand for returning a failure from a function with an Expected result.
[[nodiscard]] inline tl::unexpected<Error> failure(
    ResultCode code, std::string message, RunState ran = RunState::NotRun)
{
    return tl::unexpected<Error>(Error(code, std::move(message), ran));
}

} // namespace lagoontiller::core
