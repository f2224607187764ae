#include "document/FaultJson.h"

#include <nlohmann/json.hpp>

namespace lagoontiller::document {

nlohmann::ordered_json toJson(const Faults& faults)
{
    auto list = nlohmann::ordered_json::array();
    for (const auto& fault : faults) {
        list.push_back({ { "line", fault.line }, { "column", fault.column }, { "section", fault.section },
            { "key", fault.key }, { "problem", fault.problem }, { "allowed", fault.allowed }, { "hint", fault.hint } });
    }
    return list;
}

} // namespace lagoontiller::document
