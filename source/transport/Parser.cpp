#include "transport/Parser.h"

#include <algorithm>
#include <utility>

namespace lagoontiller::transport {

namespace {

/// \brief Maximum bytes of chunk headers and trailers per body byte; a chunk of one byte has six.
constexpr std::size_t maxFramingBytesPerBodyByte = 16;
/// \brief Size of the parts in which the body of a chunked request is held, and of a smaller first one.
constexpr std::size_t bodyPartBytes = 16'384;
constexpr std::size_t smallBodyBytes = 1'024;
/// \brief Memory of a field in a growing vector, whose capacity is up to twice its size.
constexpr std::size_t bytesPerField = 2 * sizeof(Field);

/// \brief Bytes that the string has on the heap; a short one has none.
std::size_t heapBytes(const std::string& text) noexcept
{
    static const auto inlineCapacity = std::string().capacity();
    return text.capacity() > inlineCapacity ? text.capacity() : 0;
}

bool hasControlCharacter(std::string_view value) noexcept
{
    return std::any_of(value.begin(), value.end(), [](char character) {
        return (static_cast<unsigned char>(character) < 0x20 && character != '\t') || character == 0x7f;
    });
}

/// \brief Whether the name is a token (RFC 9110). HTTP implementations differ in how they interpret other names.
bool isToken(std::string_view name) noexcept
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [punctuation](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
            || (character >= '0' && character <= '9') || punctuation.find(character) != std::string_view::npos;
    });
}

/// \brief Whether responses with this status never have a body (RFC 9112, section 6.3).
bool hasNoBody(unsigned int status) noexcept
{
    return status < 200 || status == 204 || status == 304;
}

} // namespace

struct ParserCallbacks {
    static Parser& self(http_parser* parser) { return *static_cast<Parser*>(parser->data); }

    static int onUrl(http_parser* parser, const char* data, std::size_t size)
    {
        self(parser).targetText.append(data, size);
        return 0;
    }

    static int onFieldName(http_parser* parser, const char* data, std::size_t size)
    {
        auto& reader = self(parser);
        if (reader.headParsed)
            return 0; // Trailer fields are ignored.
        if (reader.inValue)
            reader.storeField();
        reader.fieldName.append(data, size);
        return 0;
    }

    static int onFieldValue(http_parser* parser, const char* data, std::size_t size)
    {
        auto& reader = self(parser);
        if (reader.headParsed)
            return 0;
        reader.inValue = true;
        reader.fieldValue.append(data, size);
        return 0;
    }

    static int onHeadComplete(http_parser* parser)
    {
        auto& reader = self(parser);
        if (!reader.completeHead())
            return -1;
        parser->upgrade = 0;
        const bool skipBody = reader.kind == Parser::Kind::Response && hasNoBody(parser->status_code);
        return reader.headRequest || skipBody ? 1 : 0;
    }

    static int onBody(http_parser* parser, const char* data, std::size_t size)
    {
        auto& reader = self(parser);
        // The limit grows with the body, so it is checked before these bytes count: the end of the segment is too late.
        const auto precedingBytes = reader.consumedBytes + static_cast<std::size_t>(data - reader.segmentStart);
        if (reader.exceedsFramingLimit(precedingBytes - reader.bodyBytes)) {
            reader.currentState = ParserState::Malformed;
            return -1;
        }
        reader.bodyBytes += size;
        if (reader.bodyBytes > reader.limits.maxBodyBytes) {
            reader.currentState = ParserState::BodyTooLarge;
            return -1;
        }
        reader.appendBody(data, size);
        return 0;
    }

    static int onMessageComplete(http_parser* parser)
    {
        auto& reader = self(parser);
        // An interim response (100 to 199) is followed by the final response.
        if (reader.kind == Parser::Kind::Response && parser->status_code < 200) {
            reader.headParsed = false;
            reader.headFields = Fields();
            reader.fieldBytes = 0;
            reader.bodyFraming = Framing::None;
            // The next status line begins here.
            reader.interimEnded = true;
            http_parser_pause(parser, 1);
            return 0;
        }
        reader.currentState = ParserState::Complete;
        http_parser_pause(parser, 1);
        return 0;
    }

    static http_parser_settings settings()
    {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_url = &onUrl;
        result.on_header_field = &onFieldName;
        result.on_header_value = &onFieldValue;
        result.on_headers_complete = &onHeadComplete;
        result.on_body = &onBody;
        result.on_message_complete = &onMessageComplete;
        return result;
    }
};

Parser::Parser(Kind kind, ParserLimits limits)
    : kind(kind)
    , limits(limits)
{
    this->reset();
}

void Parser::reset()
{
    http_parser_init(&this->parser, this->kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    this->parser.data = this;
    this->currentState = ParserState::Incomplete;
    this->hasStarted = false;
    this->headParsed = false;
    this->interimEnded = false;
    this->statusLine.reset();
    this->inValue = false;
    this->keepAliveAllowed = true;
    this->bodyFraming = Framing::None;
    this->headBytes = 0;
    this->consumedBytes = 0;
    this->bodyBytes = 0;
    this->announcedBodyBytes = 0;
    // `clear` would keep the memory of the largest message for as long as the connection is open.
    this->methodName = std::string();
    this->targetText = std::string();
    this->fieldName = std::string();
    this->fieldValue = std::string();
    this->headFields = Fields();
    this->fieldBytes = 0;
    this->earlierBody = {};
    this->body = std::string();
}

std::size_t Parser::feed(std::string_view bytes)
{
    std::size_t used = 0;
    while (this->currentState == ParserState::Incomplete && used < bytes.size()) {
        auto segment = bytes.substr(used);
        if (!this->headParsed) {
            // A head that ends in the same segment in which it began must not pass a limit that it exceeds.
            segment = segment.substr(
                0, this->limits.maxHeaderBytes - std::min(this->headBytes, this->limits.maxHeaderBytes));
            if (segment.empty()) {
                this->currentState = ParserState::HeaderTooLarge;
                break;
            }
        }
        used += this->feedWithinLimit(segment);
    }
    return used;
}

std::size_t Parser::feedWithinLimit(std::string_view bytes)
{
    static const http_parser_settings settings = ParserCallbacks::settings();
    this->hasStarted = true;
    if (this->kind == Kind::Response && !this->headParsed && !this->statusLine.feed(bytes)) {
        this->currentState = ParserState::Malformed;
        return bytes.size();
    }
    const bool hadHead = this->headParsed;
    this->segmentStart = bytes.data();
    const auto used = http_parser_execute(&this->parser, &settings, bytes.data(), bytes.size());
    this->consumedBytes += used;
    if (!hadHead)
        this->headBytes += used;
    const bool valid = this->currentState == ParserState::Incomplete || this->currentState == ParserState::Complete;
    if (valid && this->exceedsFramingLimit(this->consumedBytes - this->bodyBytes))
        this->currentState = ParserState::Malformed;
    const auto error = HTTP_PARSER_ERRNO(&this->parser);
    if (std::exchange(this->interimEnded, false)) {
        http_parser_pause(&this->parser, 0);
        this->statusLine.reset();
    }
    if (this->currentState == ParserState::Incomplete && error != HPE_OK && error != HPE_PAUSED)
        this->currentState = error == HPE_HEADER_OVERFLOW ? ParserState::HeaderTooLarge : ParserState::Malformed;
    return used;
}

bool Parser::exceedsFramingLimit(std::size_t framingBytes) const noexcept
{
    // Chunk extensions and trailers have no limit of their own.
    return framingBytes > 2 * this->limits.maxHeaderBytes + maxFramingBytesPerBodyByte * this->bodyBytes;
}

void Parser::finish()
{
    static const http_parser_settings settings = ParserCallbacks::settings();
    if (this->currentState != ParserState::Incomplete || !this->headParsed || this->bodyFraming != Framing::UntilClose)
        return;
    http_parser_execute(&this->parser, &settings, nullptr, 0);
}

std::size_t Parser::heldBytes() const noexcept
{
    return this->fieldBytes + heapBytes(this->targetText) + heapBytes(this->fieldName) + heapBytes(this->fieldValue)
        + std::max(this->earlierBody.size() * bodyPartBytes + heapBytes(this->body), this->expectedBodyBytes());
}

void Parser::reserveBody()
{
    this->body.reserve(this->announcedBodyBytes);
}

void Parser::appendBody(const char* data, std::size_t size)
{
    if (this->kind == Kind::Response || this->bodyFraming != Framing::Chunked) {
        this->body.append(data, size);
        return;
    }
    while (size > 0) {
        if (this->body.size() == bodyPartBytes) {
            this->earlierBody.push_back(std::exchange(this->body, std::string()));
            this->body.reserve(bodyPartBytes);
        }
        const auto part = std::min(size, bodyPartBytes - this->body.size());
        if (this->body.size() + part > this->body.capacity()) {
            std::string larger;
            larger.reserve(this->body.size() + part > smallBodyBytes ? bodyPartBytes : smallBodyBytes);
            this->body = std::move(larger.append(this->body));
        }
        this->body.append(data, part);
        data += part;
        size -= part;
    }
}

std::string Parser::takeBody()
{
    return std::exchange(this->body, std::string());
}

Request Parser::takeRequest()
{
    if (!this->earlierBody.empty()) {
        std::string whole;
        whole.reserve(this->bodyBytes);
        for (auto& part : this->earlierBody)
            whole.append(std::exchange(part, std::string()));
        whole.append(this->body);
        this->earlierBody = {};
        this->body = std::move(whole);
    }
    return Request { std::move(this->methodName), std::move(this->targetText), std::move(this->headFields),
        std::move(this->body), this->keepAliveAllowed, {} };
}

void Parser::storeField()
{
    if (!this->fieldName.empty()) {
        this->fieldBytes += bytesPerField + heapBytes(this->fieldName) + heapBytes(this->fieldValue);
        this->headFields.add(
            std::exchange(this->fieldName, std::string()), std::exchange(this->fieldValue, std::string()));
    }
    this->fieldName.clear();
    this->fieldValue.clear();
    this->inValue = false;
}

bool Parser::completeHead()
{
    this->storeField();
    this->headParsed = true;
    this->keepAliveAllowed = http_should_keep_alive(&this->parser) != 0;
    if (this->kind == Kind::Response && !isValidStatus(this->parser.status_code))
        return false;
    if (this->kind == Kind::Request)
        this->methodName = http_method_str(static_cast<http_method>(this->parser.method));
    for (const auto& field : this->headFields) {
        if (hasControlCharacter(field.value) || !isToken(field.name))
            return false;
    }
    if (this->headFields.count("Content-Length") > 1)
        return false;
    const bool chunked = (this->parser.flags & F_CHUNKED) != 0;
    const bool hasLength = this->headFields.find("Content-Length").has_value();
    if (this->headFields.find("Transfer-Encoding") && (hasLength || !chunked))
        return false;
    if (this->kind == Kind::Response && (this->headRequest || hasNoBody(this->parser.status_code)))
        this->bodyFraming = Framing::None;
    else if (chunked)
        this->bodyFraming = Framing::Chunked;
    else if (hasLength)
        this->bodyFraming = Framing::Length;
    else if (this->kind == Kind::Response)
        this->bodyFraming = Framing::UntilClose;
    if (this->kind == Kind::Request && this->bodyFraming == Framing::Length) {
        if (this->parser.content_length > this->limits.maxBodyBytes) {
            this->currentState = ParserState::BodyTooLarge;
            return false;
        }
        this->announcedBodyBytes = static_cast<std::size_t>(this->parser.content_length);
    }
    return true;
}

} // namespace lagoontiller::transport
