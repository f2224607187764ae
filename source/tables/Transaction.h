#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lagoontiller::tables {

/// \brief Version of a row, which increases with each write. 0 means that the row does not exist.
using RowVersion = std::uint64_t;

/// \brief A transaction commits only if the row `key` has exactly this version.
struct Condition {
    std::string key;
    RowVersion version = 0;
    [[nodiscard]] bool operator==(const Condition&) const = default;
};

struct Put {
    std::string key;
    std::string value;
    [[nodiscard]] bool operator==(const Put&) const = default;
};

/// \brief Conditional writes that are applied atomically, or not at all if a condition fails.
struct Transaction {
    /// \brief Identifies the transaction in logs; the table service does not deduplicate by it.
    std::string token;
    std::vector<Condition> conditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
    [[nodiscard]] bool operator==(const Transaction&) const = default;
};

/// \brief Reply of the table service. If the transaction did not commit, `failed` lists the keys of failed conditions.
struct TransactionReply {
    bool committed = false;
    std::map<std::string, RowVersion> versions;
    std::vector<std::string> failed;
    [[nodiscard]] bool operator==(const TransactionReply&) const = default;
};

struct Row {
    std::string key;
    RowVersion version = 0;
    std::string value;
    [[nodiscard]] bool operator==(const Row&) const = default;
};

} // namespace lagoontiller::tables
