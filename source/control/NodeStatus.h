#pragma once

#include "control/Context.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace lagoontiller::control {

/// \brief Newest document version that a node is known to have; 0 when it is not known.
using DocumentVersionOf = std::function<std::uint64_t(const std::string& node)>;

/// \brief What the operator API and the console show of this node: members, endpoints, programs, refusals, histograms
/// and the store. Counts of programs and calls are those of this node alone.
[[nodiscard]] nlohmann::json nodeStatus(
    const Context& context, const DocumentVersionOf& documentVersionOf, core::TimePoint now);

} // namespace lagoontiller::control
