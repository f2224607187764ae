#pragma once

#include "tables/Transaction.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoontiller::support {

/// \brief The rows of a table service in memory. Transactions may be held back and delivered later.
class AcceptanceTable {
public:
    [[nodiscard]] std::optional<tables::Row> read(const std::string& key) const
    {
        const auto row = this->rows.find(key);
        return row == this->rows.end() ? std::nullopt : std::optional(row->second);
    }

    tables::TransactionReply commit(const tables::Transaction& transaction)
    {
        tables::TransactionReply reply;
        for (const auto& condition : transaction.conditions) {
            const auto row = this->read(condition.key);
            if ((row ? row->version : 0) != condition.version)
                reply.failed.push_back(condition.key);
        }
        if (!reply.failed.empty())
            return reply;
        reply.committed = true;
        for (const auto& put : transaction.puts) {
            auto& row = this->rows[put.key];
            row = { put.key, row.version + 1, put.value };
            reply.versions[put.key] = row.version;
            this->writes.push_back(put);
        }
        return reply;
    }

    void holdBack(const tables::Transaction& transaction) { this->heldBack.push_back(transaction); }

    /// \brief Delivers one held-back transaction; its reply reaches nobody.
    void deliver(std::size_t index)
    {
        if (this->heldBack.empty())
            return;
        const auto position = this->heldBack.begin() + static_cast<std::ptrdiff_t>(index % this->heldBack.size());
        const auto transaction = *position;
        this->heldBack.erase(position);
        (void)this->commit(transaction);
    }

    void deliverAll()
    {
        while (!this->heldBack.empty())
            this->deliver(0);
    }

    /// \brief Every write that took effect, in order.
    std::vector<tables::Put> writes;

private:
    std::map<std::string, tables::Row> rows;
    std::vector<tables::Transaction> heldBack;
};

} // namespace lagoontiller::support
