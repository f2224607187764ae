#pragma once

#include "control/Context.h"

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace lagoontiller::control {

/// \brief Returns the newest document version that a node is known to have; 0 if unknown.
using DocumentVersionOf = std::function<std::uint64_t(const std::string& node)>;

/// \brief Status of this node for the operator API and the console: members, endpoints, programs, refusals, histograms
/// and the store. Programs and calls are counted on this node only.
[[nodiscard]] nlohmann::json nodeStatus(
    const Context& context, const DocumentVersionOf& documentVersionOf, core::TimePoint now);

} // namespace lagoontiller::control
