#pragma once

#include "callers/ResponseStream.h"
#include "operators/Html.h"
#include "operators/SessionStore.h"

#include <optional>
#include <string>

namespace lagoontiller::operators {

/// \brief Page of the console that the navigation marks as the present one.
enum class NavigationItem : int {
    SignIn,
    Status,
    Edit,
    History,
};

/// \brief A whole page: title, navigation (only with a session) and the main part.
[[nodiscard]] std::string renderPage(const std::string& title, NavigationItem activeItem,
    const std::optional<Session>& session, const Html& mainContent);

/// \brief Style sheet of all pages; readable from 320 pixels of width.
[[nodiscard]] const std::string& styleSheet();

/// \brief Hidden field with the token that every POST must carry.
[[nodiscard]] Html csrfField(const std::string& token);

enum class MessageKind : int {
    Info,
    Success,
    Warning,
    Error,
};

/// \brief A box with one message.
[[nodiscard]] Html messageBox(MessageKind kind, std::string_view text);

/// \brief Sends a page with headers that forbid scripts, frames, foreign resources and storage of the page.
void sendPage(
    const callers::ResponseStreamPointer& response, int status, std::string content, http::Headers headers = {});
void sendStyleSheet(const callers::ResponseStreamPointer& response);
/// \brief Status 303: the browser fetches the target with GET.
void redirect(const callers::ResponseStreamPointer& response, const std::string& target, http::Headers headers = {});

/// \brief `2026-12-04 08:18:06 UTC`.
[[nodiscard]] std::string formatTime(std::int64_t unixMs);

} // namespace lagoontiller::operators
