#pragma once

#include "document/Document.h"
#include "engines/EngineClient.h"
#include "policy/Types.h"

#include <string>

namespace lagoontiller::control::impl {

/// \brief Classifies a failed generation for the health tracking of its endpoint.
[[nodiscard]] policy::FailureKind failureKindOf(const engines::EngineFailed& failure);

/// \brief False if the request certainly did not run: no connection was made, or the engine refused it.
[[nodiscard]] bool mayHaveRun(const engines::EngineFailed& failure);

/// \brief Name of the first model service in the document that serves the model; empty if none does.
[[nodiscard]] std::string serviceOfModel(const document::Document& document, const std::string& model);

} // namespace lagoontiller::control::impl
