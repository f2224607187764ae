#pragma once

#include "transport/Message.h"
#include "transport/StatusLine.h"

#include <algorithm>
#include <cstddef>
#include <http_parser.h>
#include <vector>

namespace lagoontiller::transport {

struct ParserLimits {
    std::size_t maxHeaderBytes = 65'536;
    std::size_t maxBodyBytes = 16U << 20U;
};

enum class ParserState : int {
    /// \brief More bytes are needed.
    Incomplete,
    /// \brief A complete message was parsed; `reset` prepares for the next one.
    Complete,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
};

/// \brief Incremental parser of HTTP/1.1 messages, based on http_parser.
///
/// Rejects ambiguous messages: several Content-Length fields, Transfer-Encoding together with Content-Length or without
/// chunked, control characters in field values, and field names that are not tokens. Responses that never have a body
/// (1xx, 204, 304) end with their head, whatever their fields announce.
class Parser {
public:
    enum class Kind : int {
        Request,
        Response,
    };

    Parser(Kind kind, ParserLimits limits);

    /// \brief Parses the bytes up to the end of the message. The result doesn't depend on how the bytes are segmented.
    /// \return the number of bytes consumed; 0 once the state is not `Incomplete`.
    std::size_t feed(std::string_view bytes);
    /// \brief Reports an orderly close by the peer: completes a message with `UntilClose` framing, no effect otherwise.
    /// The close does not prove that the body is whole.
    void finish();
    /// \brief Discards the current message, frees its memory and prepares for the next one.
    void reset();
    void setLimits(ParserLimits limits) noexcept { this->limits = limits; }
    /// \brief Whether the response answers a HEAD request and therefore has no body.
    void setHeadRequest(bool value) noexcept { this->headRequest = value; }

    [[nodiscard]] ParserState state() const noexcept { return this->currentState; }
    /// \brief Whether any byte of the message was parsed.
    [[nodiscard]] bool started() const noexcept { return this->hasStarted; }
    [[nodiscard]] bool headComplete() const noexcept { return this->headParsed; }
    [[nodiscard]] const std::string& method() const noexcept { return this->methodName; }
    [[nodiscard]] const std::string& target() const noexcept { return this->targetText; }
    [[nodiscard]] const Fields& fields() const noexcept { return this->headFields; }
    /// \brief Size of the body: as announced if that is larger than what has been parsed; 0 before the end of the head.
    [[nodiscard]] std::size_t expectedBodyBytes() const noexcept
    {
        return std::max(this->announcedBodyBytes, this->bodyBytes);
    }
    [[nodiscard]] int status() const noexcept { return this->parser.status_code; }
    [[nodiscard]] bool keepAlive() const noexcept { return this->keepAliveAllowed; }
    [[nodiscard]] Framing framing() const noexcept { return this->bodyFraming; }
    /// \brief Bytes of memory that the message takes: its head and its body, at least as much as announced.
    [[nodiscard]] std::size_t heldBytes() const noexcept;
    /// \brief Allocates the announced size of the body at once, so that it isn't copied as it grows.
    void reserveBody();
    /// \brief Returns the body bytes parsed since the last call and removes them from the parser.
    [[nodiscard]] std::string takeBody();
    /// \brief Moves the complete request out of the parser, without `clientAddress`.
    [[nodiscard]] Request takeRequest();

private:
    friend struct ParserCallbacks;

    /// \brief Checks the header fields and determines the framing of the body; false when the message is rejected.
    bool completeHead();
    /// \brief Adds the header field that was parsed last to `headFields`.
    void storeField();
    void appendBody(const char* data, std::size_t size);
    /// \brief Parses bytes that contain no more of the head than its limit allows.
    std::size_t feedWithinLimit(std::string_view bytes);
    /// \brief Whether this number of bytes beside the body exceeds the limit, for the body parsed so far.
    [[nodiscard]] bool exceedsFramingLimit(std::size_t framingBytes) const noexcept;

    Kind kind;
    ParserLimits limits;
    ParserState currentState = ParserState::Incomplete;
    http_parser parser {};
    bool headRequest = false;
    bool hasStarted = false;
    bool headParsed = false;
    /// \brief An interim response has ended in the segment that is being parsed.
    bool interimEnded = false;
    StatusLineCheck statusLine;
    bool inValue = false;
    bool keepAliveAllowed = true;
    Framing bodyFraming = Framing::None;
    /// \brief Bytes of the head so far, including those of interim responses.
    std::size_t headBytes = 0;
    /// \brief All bytes consumed for the message, without the segment that is being parsed.
    std::size_t consumedBytes = 0;
    /// \brief Start of the segment that is being parsed.
    const char* segmentStart = nullptr;
    std::size_t bodyBytes = 0;
    /// \brief Content-Length; 0 for other framings.
    std::size_t announcedBodyBytes = 0;
    std::string methodName;
    std::string targetText;
    std::string fieldName;
    std::string fieldValue;
    Fields headFields;
    /// \brief Memory of `headFields`.
    std::size_t fieldBytes = 0;
    /// \brief Parts of the body of a chunked request before `body`. Buffers of one size can be reused for any
    /// connection; ones that grow leave gaps in the heap, which held four times the memory of the bodies.
    std::vector<std::string> earlierBody;
    std::string body;
};

} // namespace lagoontiller::transport
