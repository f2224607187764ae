#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::transport {

/// \brief True when the header names are equal, ignoring case.
[[nodiscard]] bool sameName(std::string_view left, std::string_view right) noexcept;

struct Field {
    std::string name;
    std::string value;
    [[nodiscard]] bool operator==(const Field&) const = default;
};

/// \brief Header fields in the order of the message.
class Fields {
public:
    void add(std::string name, std::string value) { this->entries.push_back({ std::move(name), std::move(value) }); }
    /// \brief Value of the first field of this name.
    [[nodiscard]] std::optional<std::string_view> find(std::string_view name) const noexcept;
    [[nodiscard]] std::size_t count(std::string_view name) const noexcept;
    /// \brief Whether a comma-separated list field of this name has the token, ignoring case.
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
    /// \brief Whether the connection may carry another request afterwards.
    bool keepAlive = true;
    /// \brief IP number of the client.
    std::string clientAddress;
};

/// \brief How the end of a response body is recognised.
enum class Framing : int {
    None,
    Length,
    Chunked,
    UntilClose,
};

struct ResponseHead {
    int status = 0;
    Fields fields;
    Framing framing = Framing::Length;
    bool keepAlive = true;
};

/// \brief Whether the field concerns one connection only and must not be forwarded.
[[nodiscard]] bool isConnectionField(const Fields& fields, std::string_view name) noexcept;

/// \brief Appends `name: value` with a line end.
void appendField(std::string& text, std::string_view name, std::string_view value);

/// \brief Status line of a response.
[[nodiscard]] std::string statusLine(int status);

/// \brief One chunk of a chunked body.
[[nodiscard]] std::string chunk(std::string_view bytes);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace lagoontiller::transport
