#include "bench/fakes/TableModel.h"

#include <algorithm>

namespace lagoontiller::fakes {

tables::TransactionReply TableModel::apply(const tables::Transaction& transaction)
{
    ++this->counts.writes;
    tables::TransactionReply reply;
    for (const auto& condition : transaction.conditions) {
        if (this->versionOf(condition.key) != condition.version)
            reply.failed.push_back(condition.key);
    }
    if (!reply.failed.empty()) {
        ++this->counts.conditionalFailures;
        return reply;
    }
    reply.committed = true;
    for (const auto& key : transaction.deletes)
        this->rows.erase(key);
    for (const auto& put : transaction.puts) {
        const auto version = ++this->lastVersion;
        this->rows[put.key] = Stored { version, put.value };
        reply.versions[put.key] = version;
    }
    return reply;
}

std::optional<tables::Row> TableModel::read(const std::string& key)
{
    ++this->counts.reads;
    const auto found = this->rows.find(key);
    if (found == this->rows.end())
        return std::nullopt;
    return tables::Row { key, found->second.version, found->second.value };
}

std::vector<tables::Row> TableModel::scan(const std::string& prefix, const std::string& after, std::size_t limit)
{
    const auto maxRows = limit == 0 ? scanPageRows : limit;
    std::vector<tables::Row> result;
    std::size_t bytes = 0;
    auto row = after < prefix ? this->rows.lower_bound(prefix) : this->rows.upper_bound(after);
    for (; row != this->rows.end() && result.size() < maxRows && bytes < scanPageBytes; ++row) {
        if (!row->first.starts_with(prefix))
            break;
        result.push_back({ row->first, row->second.version, row->second.value });
        bytes += row->first.size() + row->second.value.size();
    }
    this->counts.reads += std::max<std::size_t>(1, (result.size() + scanPageRows - 1) / scanPageRows);
    return result;
}

tables::RowVersion TableModel::versionOf(const std::string& key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? 0 : found->second.version;
}

} // namespace lagoontiller::fakes
