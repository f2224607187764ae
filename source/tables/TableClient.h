#pragma once

#include "core/Error.h"
#include "http/Client.h"
#include "tables/Transaction.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::tables {

/// \brief Client for the platform's transactional table service.
///
/// Calls return immediately; handlers run on the I/O thread of the HTTP client. Errors: StoreUnavailable if the
/// operation had no effect, StoreOutcomeUnknown if a transaction may have been committed and must be read back.
class TableClient {
public:
    using TransactionHandler = std::function<void(core::Expected<TransactionReply>)>;
    using ReadHandler = std::function<void(core::Expected<std::optional<Row>>)>;
    using ScanHandler = std::function<void(core::Expected<std::vector<Row>>)>;

    TableClient(http::Client& client, std::string address);

    void transact(const Transaction& transaction, TransactionHandler handler) const;
    /// \brief Reads a row; the result is empty if the row does not exist.
    void read(const std::string& key, ReadHandler handler) const;
    /// \brief Reads the rows whose key starts with `prefix` and is greater than `after`, in key order, at most `limit`.
    void scan(const std::string& prefix, const std::string& after, int limit, ScanHandler handler) const;

private:
    [[nodiscard]] http::Request request(std::string method, const std::string& target, std::string body) const;

    http::Client& client;
    std::string address;
};

} // namespace lagoontiller::tables
