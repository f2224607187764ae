#pragma once

#include "callers/ResponseStream.h"
#include "operators/Html.h"
#include "operators/SessionStore.h"

#include <optional>
#include <string>

namespace lagoontiller::operators {

/// \brief Entry of the navigation that a page marks as active. SignIn has no entry.
enum class NavigationItem : int {
    SignIn,
    Status,
    Edit,
    History,
};

/// \brief Renders a complete page with title and main content. Only pages with a session have the navigation.
[[nodiscard]] std::string renderPage(const std::string& title, NavigationItem activeItem,
    const std::optional<Session>& session, const Html& mainContent);

/// \brief Style sheet of all pages, for screens of 320 pixels or wider.
[[nodiscard]] const std::string& styleSheet();

/// \brief Hidden field with the CSRF token that every POST request must include.
[[nodiscard]] Html csrfField(const std::string& token);

enum class MessageKind : int {
    Info,
    Success,
    Warning,
    Error,
};

/// \brief Renders one message in a box. Warnings and errors have the ARIA role `alert`.
[[nodiscard]] Html messageBox(MessageKind kind, std::string_view text);

/// \brief Sends a page with headers that forbid scripts, framing, resources of other origins and caching.
void sendPage(
    const callers::ResponseStreamPointer& response, int status, std::string content, http::Headers headers = {});
void sendStyleSheet(const callers::ResponseStreamPointer& response);
/// \brief Responds with status 303, so that the browser requests the target with GET.
void redirect(const callers::ResponseStreamPointer& response, const std::string& target, http::Headers headers = {});

/// \brief Formats a Unix time in milliseconds as `2026-12-04 08:18:06 UTC`.
[[nodiscard]] std::string formatTime(std::int64_t unixMs);

} // namespace lagoontiller::operators
