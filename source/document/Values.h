#pragma once

#include "document/KeyHash.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::document {

struct Region {
    const std::string name;
    [[nodiscard]] bool operator==(const Region&) const = default;
};

struct Zone {
    const std::string name;
    const std::string region;
    [[nodiscard]] bool operator==(const Zone&) const = default;
};

enum class VmRole : int {
    Entry,
    Endpoint,
};

struct Vm {
    const std::string name;
    /// \brief `IP:port`.
    const std::string address;
    const std::string zone;
    const std::string region;
    const VmRole role;
    /// \brief Empty for entry VMs.
    const std::string service;
    [[nodiscard]] bool operator==(const Vm&) const = default;
};

enum class ServiceKind : int {
    Model,
    Tool,
    Plain,
};

struct Service {
    const std::string name;
    const ServiceKind kind;
    const std::vector<std::string> models;
    /// \brief Regions in which the service must have an endpoint.
    const std::vector<std::string> regions;
    const bool repeatable;
    const std::vector<std::string> nonRepeatablePaths;
    const bool checksFencing;
    const std::int64_t timeoutMs;
    /// \brief 0 to 1.
    const double latencyWeight;
    /// \brief 0 to 1.
    const double wastedCacheWeight;
    [[nodiscard]] bool operator==(const Service&) const = default;

    /// \brief Whether a call of this path may run twice. `path` starts with `/`; a query is ignored.
    [[nodiscard]] bool mayRepeat(std::string_view path) const;
};

struct Model {
    const std::string name;
    const std::string version;
    const std::vector<std::string> adapters;
    const std::int64_t contextTokens;
    [[nodiscard]] bool operator==(const Model&) const = default;
};

struct Customer {
    const std::string name;
    const KeyHash key;
    /// \brief Relative to the shares of the other customers.
    const double share;
    const std::int64_t maxConcurrent;
    /// \brief Never empty; the first class is the default.
    const std::vector<std::string> classes;
    [[nodiscard]] bool operator==(const Customer&) const = default;
};

/// \brief Program class: priority and budget.
struct ProgramClass {
    const std::string name;
    /// \brief 0 to 9; 9 is served first.
    const std::int64_t priority;
    const std::int64_t maxTurns;
    const std::int64_t maxCalls;
    const std::int64_t maxTokens;
    const std::int64_t maxWallSeconds;
    [[nodiscard]] bool operator==(const ProgramClass&) const = default;
};

struct Limits {
    const std::int64_t maxBodyBytes;
    const std::int64_t maxQueue;
    const std::int64_t streamSilenceMs;
    [[nodiscard]] bool operator==(const Limits&) const = default;
};

} // namespace lagoontiller::document
