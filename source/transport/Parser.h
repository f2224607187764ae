#pragma once

#include "transport/Message.h"

#include <cstddef>
#include <http_parser.h>

namespace lagoontiller::transport {

struct ParserLimits {
    std::size_t maxHeaderBytes = 65'536;
    std::size_t maxBodyBytes = 16U << 20U;
};

enum class ParserState : int {
    /// \brief More bytes are needed.
    Incomplete,
    /// \brief A whole message was read; `reset` starts the next one.
    Complete,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

/// \brief Incremental reader of one HTTP/1.1 message, on http_parser.
///
/// Refuses ambiguous framing: several lengths, a length beside a transfer coding, control characters in values.
class Parser {
public:
    enum class Kind : int {
        Request,
        Response,
    };

    Parser(Kind kind, ParserLimits limits);

    /// \brief Reads up to the end of the message; returns the number of bytes used.
    std::size_t feed(std::string_view bytes);
    /// \brief The peer closed in an orderly way: ends a body that has no length.
    void finish();
    /// \brief Prepares for the next message.
    void reset();
    void setLimits(ParserLimits limits) noexcept { this->limits = limits; }
    /// \brief The response answers a HEAD request: it has no body.
    void setHeadRequest(bool value) noexcept { this->headRequest = value; }

    [[nodiscard]] ParserState state() const noexcept { return this->currentState; }
    /// \brief Whether any byte of the message was read.
    [[nodiscard]] bool started() const noexcept { return this->hasStarted; }
    [[nodiscard]] bool headComplete() const noexcept { return this->headParsed; }
    [[nodiscard]] const std::string& method() const noexcept { return this->methodName; }
    [[nodiscard]] const std::string& target() const noexcept { return this->targetText; }
    [[nodiscard]] const Fields& fields() const noexcept { return this->headFields; }
    [[nodiscard]] int status() const noexcept { return this->parser.status_code; }
    [[nodiscard]] bool keepAlive() const noexcept { return this->keepAliveAllowed; }
    [[nodiscard]] Framing framing() const noexcept { return this->bodyFraming; }
    /// \brief Body bytes read since the last call.
    [[nodiscard]] std::string takeBody();
    [[nodiscard]] Request takeRequest();

private:
    friend struct ParserCallbacks;

    bool completeHead();
    void storeField();

    Kind kind;
    ParserLimits limits;
    ParserState currentState = ParserState::Incomplete;
    http_parser parser {};
    bool headRequest = false;
    bool hasStarted = false;
    bool headParsed = false;
    bool inValue = false;
    bool keepAliveAllowed = true;
    Framing bodyFraming = Framing::None;
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;
    std::string methodName;
    std::string targetText;
    std::string fieldName;
    std::string fieldValue;
    Fields headFields;
    std::string body;
};

} // namespace lagoontiller::transport
