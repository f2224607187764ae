#pragma once

#include "callers/HttpServer.h"
#include "operators/Html.h"

#include <string>

namespace lagoontiller::operators {

/// \brief Returns a cookie name that includes the port of the Host header, 80 when it has none. Browsers send a cookie
/// to all ports of a host, and an operator may reach several nodes through tunnels on one loopback address.
[[nodiscard]] std::string cookieName(const callers::IncomingRequest& request, std::string_view purpose);

/// \brief Value of the cookie; empty when the request has no cookie of this name.
[[nodiscard]] std::string cookieValue(const callers::IncomingRequest& request, std::string_view name);

/// \brief Set-Cookie header with HttpOnly and SameSite=Strict, so that scripts cannot read the cookie and requests from
/// other sites do not include it. With `isDeleted` the browser deletes the cookie.
[[nodiscard]] http::Header setCookie(const std::string& name, const std::string& value, bool isDeleted = false);

/// \brief Whether the Origin header matches the Host header, that is, whether a page of this console submitted the
/// form. False when either header is missing.
[[nodiscard]] bool isSameOrigin(const callers::IncomingRequest& request);

struct SignInForm {
    /// \brief Must equal the sign-in cookie when the form is submitted.
    std::string csrfToken;
    /// \brief Message shown above the form; empty for none.
    std::string errorMessage {};
    std::string author {};
    /// \brief Output of `encodeDraft` that the operator continues to edit after signing in; empty for none.
    std::string encodedDraft {};
};

[[nodiscard]] Html signInForm(const SignInForm& form);

} // namespace lagoontiller::operators
