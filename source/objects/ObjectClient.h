#pragma once

#include "core/Error.h"
#include "http/Client.h"

#include <functional>
#include <optional>
#include <string>

namespace lagoontiller::objects {

/// \brief Client for the platform's object store. Keys are unique, so writes are idempotent: an object is written again
/// only with the same bytes.
///
/// Handlers run on the I/O thread of the HTTP client. Error: StoreUnavailable.
class ObjectClient {
public:
    using WriteHandler = std::function<void(core::Expected<void>)>;
    using ReadHandler = std::function<void(core::Expected<std::optional<std::string>>)>;

    ObjectClient(http::Client& client, std::string address);

    void put(const std::string& key, std::string bytes, WriteHandler handler) const;
    /// \brief Reads an object; the result is empty if the object does not exist.
    void get(const std::string& key, ReadHandler handler) const;
    /// \brief Removes an object; succeeds if the object does not exist.
    void remove(const std::string& key, WriteHandler handler) const;

private:
    [[nodiscard]] http::Request request(std::string method, const std::string& key, std::string body) const;

    http::Client& client;
    std::string address;
};

} // namespace lagoontiller::objects
