#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::transport {

/// \brief Whether two header field names are equal, ignoring case.
[[nodiscard]] bool sameName(std::string_view left, std::string_view right) noexcept;

struct Field {
    std::string name;
    std::string value;
    [[nodiscard]] bool operator==(const Field&) const = default;
};

/// \brief Header fields in the order in which the message has them. Lookups ignore the case of names.
class Fields {
public:
    void add(std::string name, std::string value) { this->entries.push_back({ std::move(name), std::move(value) }); }
    /// \brief Value of the first field with this name; empty when there is none.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const noexcept;
    /// \brief Number of fields with this name.
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;
    /// \brief Whether the comma-separated list of a field with this name contains the token, ignoring case.
    [[nodiscard]] bool hasToken(std::string_view name, std::string_view token) const noexcept;
    [[nodiscard]] auto begin() const noexcept { return this->entries.begin(); }
    [[nodiscard]] auto end() const noexcept { return this->entries.end(); }
    [[nodiscard]] bool operator==(const Fields&) const = default;

private:
    std::vector<Field> entries;
};

struct Request {
    std::string method;
    std::string target;
    Fields fields;
    std::string body;
    /// \brief Whether the connection may carry another request after this one.
    bool keepAlive = true;
    /// \brief IP address of the client without the port; empty when unknown.
    std::string clientAddress;
};

/// \brief How the end of a message body is determined.
enum class Framing : int {
    /// \brief The message has no body.
    None,
    /// \brief Content-Length gives the size.
    Length,
    Chunked,
    /// \brief The body ends when the peer closes the connection.
    UntilClose,
};

struct ResponseHead {
    int status = 0;
    Fields fields;
    Framing framing = Framing::Length;
    bool keepAlive = true;
};

/// \brief Whether the field applies to one connection only (hop-by-hop) and must not be forwarded. Includes the fields
/// that Connection lists in `fields`.
[[nodiscard]] bool isConnectionField(const Fields& fields, std::string_view name) noexcept;

/// \brief Appends the line `name: value` with CRLF.
void appendField(std::string& text, std::string_view name, std::string_view value);

/// \brief Status line of a response with CRLF. The reason phrase is `Status` for a status that has none here.
[[nodiscard]] std::string statusLine(int status);

/// \brief Encodes the bytes as one chunk of a chunked body. They must not be empty: an empty chunk ends the body.
[[nodiscard]] std::string chunk(std::string_view bytes);
/// \brief End of a chunked body without trailer fields.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace lagoontiller::transport
