#pragma once

#include "callers/HttpServer.h"
#include "operators/Html.h"

#include <string>

namespace lagoontiller::operators {

/// \brief Name of a cookie with the port of the request's host: browsers send cookies to all ports of an address, and
/// several nodes may be reached through tunnels on one loopback address.
[[nodiscard]] std::string cookieName(const callers::IncomingRequest& request, std::string_view purpose);

/// \brief Value of a cookie; empty when the request has none of this name.
[[nodiscard]] std::string cookieValue(const callers::IncomingRequest& request, std::string_view name);

/// \brief Header that sets a cookie which scripts and other sites cannot use. A zero age removes it.
[[nodiscard]] http::Header setCookie(const std::string& name, const std::string& value, bool isDeleted = false);

/// \brief Whether the browser says that the form is on a page of this console.
[[nodiscard]] bool isSameOrigin(const callers::IncomingRequest& request);

struct SignInForm {
    std::string csrfToken;
    std::string errorMessage {};
    std::string author {};
    /// \brief Draft that is continued after the sign-in; empty for none.
    std::string encodedDraft {};
};

[[nodiscard]] Html signInForm(const SignInForm& form);

} // namespace lagoontiller::operators
