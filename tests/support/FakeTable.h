#pragma once

#include "proto/records.pb.h"
#include "state/StoreEffects.h"
#include "state/StoreKeys.h"

#include <map>
#include <string>
#include <vector>

namespace lagoontiller::tests {

/// \brief Table and object store in memory. Checks the ownership rows of every transaction that commits.
class FakeTable {
public:
    [[nodiscard]] tables::TransactionReply commit(const tables::Transaction& transaction)
    {
        tables::TransactionReply reply;
        for (const auto& condition : transaction.conditions) {
            const auto found = this->rows.find(condition.key);
            const auto version = found == this->rows.end() ? 0 : found->second.version;
            if (version != condition.version) {
                reply.failed.push_back(condition.key);
            }
        }
        if (!reply.failed.empty()) {
            return reply;
        }
        reply.committed = true;
        for (const auto& put : transaction.puts) {
            this->checkOwnerRow(put);
            // One counter for all rows: a version never repeats, not even for a row that was deleted in between.
            this->lastVersion += 1;
            this->rows[put.key] = { put.key, this->lastVersion, put.value };
            reply.versions[put.key] = this->lastVersion;
        }
        for (const auto& key : transaction.deletes) {
            this->deletedRows += this->rows.erase(key);
        }
        this->transactions += 1;
        return reply;
    }

    [[nodiscard]] std::optional<tables::Row> read(const std::string& key) const
    {
        const auto found = this->rows.find(key);
        return found == this->rows.end() ? std::nullopt : std::optional(found->second);
    }

    [[nodiscard]] std::vector<tables::Row> scan(const state::ScanRows& request) const
    {
        std::vector<tables::Row> result;
        for (auto position = this->rows.upper_bound(std::max(request.after, request.prefix));
             position != this->rows.end() && position->first.starts_with(request.prefix); ++position) {
            if (result.size() == request.limit) {
                break;
            }
            result.push_back(position->second);
        }
        return result;
    }

    [[nodiscard]] std::optional<records::OwnerRow> owner(core::PartitionId partition) const
    {
        const auto row = this->read(state::ownerKey(partition));
        records::OwnerRow parsed;
        return row && parsed.ParseFromString(row->value) ? std::optional(parsed) : std::nullopt;
    }

    [[nodiscard]] std::size_t logRows() const
    {
        return std::ranges::count_if(this->rows, [](const auto& item) { return item.first.starts_with("log/"); });
    }

    std::map<std::string, tables::Row> rows;
    std::map<std::string, std::string> objects;
    /// \brief Faults found in ownership rows; empty in a correct run.
    std::vector<std::string> violations;
    std::uint64_t transactions = 0;
    std::uint64_t deletedRows = 0;
    std::uint64_t takeovers = 0;

private:
    void checkOwnerRow(const tables::Put& put)
    {
        const auto partition = state::partitionOfOwnerKey(put.key);
        records::OwnerRow next;
        if (!partition || !next.ParseFromString(put.value)) {
            return;
        }
        const auto previous = this->owner(*partition);
        if (!previous) {
            return;
        }
        if (next.epoch() < previous->epoch()) {
            this->violations.push_back(put.key + ": the epoch fell");
        }
        if (next.stream() != previous->stream() && next.epoch() <= previous->epoch()) {
            this->violations.push_back(put.key + ": the owner changed without a higher epoch");
        }
        this->takeovers += next.epoch() > previous->epoch() ? 1 : 0;
    }

    tables::RowVersion lastVersion = 0;
};

} // namespace lagoontiller::tests
