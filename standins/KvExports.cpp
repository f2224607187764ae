#include "standins/KvExports.h"

namespace lagoontiller::standins {

std::string KvExports::add(const std::string& source, KvExport exported)
{
    const std::lock_guard lock(this->mutex);
    auto handle = "kv-" + std::to_string(++this->last);
    this->exports[{ source, handle }] = std::move(exported);
    return handle;
}

std::optional<KvExport> KvExports::find(const std::string& source, const std::string& handle) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->exports.find({ source, handle });
    return found == this->exports.end() ? std::nullopt : std::optional(found->second);
}

void KvExports::drop(const std::string& source)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->exports, [&source](const auto& entry) { return entry.first.first == source; });
}

} // namespace lagoontiller::standins
