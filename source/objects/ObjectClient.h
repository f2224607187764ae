#pragma once

#include "core/Error.h"
#include "http/Client.h"

#include <functional>
#include <optional>
#include <string>

namespace lagoontiller::objects {

/// \brief The platform's object store. Writing an object again with the same bytes is harmless: keys are unique.
///
/// Handlers run on the HTTP traffic thread. Error: StoreUnavailable.
class ObjectClient {
public:
    using WriteHandler = std::function<void(core::Expected<void>)>;
    using ReadHandler = std::function<void(core::Expected<std::optional<std::string>>)>;

    ObjectClient(http::Client& client, std::string address);

    void put(const std::string& key, std::string bytes, WriteHandler handler) const;
    void get(const std::string& key, ReadHandler handler) const;
    void remove(const std::string& key, WriteHandler handler) const;

private:
    [[nodiscard]] http::Request request(std::string method, const std::string& key, std::string body) const;

    http::Client& client;
    std::string address;
};

} // namespace lagoontiller::objects
