#include "bench/fakes/ServiceModel.h"

#include "core/Hash.h"

namespace lagoontiller::fakes {

const LedgerEntry& ServiceModel::execute(
    const std::string& requestId, const std::string& key, const std::string& path, const std::string& body)
{
    this->entries.push_back({ this->entries.size() + 1, requestId, key, path, core::digestHex(body) });
    return this->entries.back();
}

} // namespace lagoontiller::fakes
