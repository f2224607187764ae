#pragma once

#include "document/Document.h"
#include "engines/EngineClient.h"
#include "policy/Types.h"

#include <string>

namespace lagoontiller::control::impl {

/// \brief What a failed generation says about its endpoint.
[[nodiscard]] policy::FailureKind failureKindOf(const engines::EngineFailed& failure);

/// \brief False when the request certainly did not run: it never left, or the engine refused it.
[[nodiscard]] bool mayHaveRun(const engines::EngineFailed& failure);

/// \brief The first model service of the document that has the model; empty when none has.
[[nodiscard]] std::string serviceOfModel(const document::Document& document, const std::string& model);

} // namespace lagoontiller::control::impl
