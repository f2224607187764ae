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
    /// \brief Regions in which the service must have at least one endpoint.
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

    /// \brief Whether a call of this path may be repeated. `path` starts with `/`; a query string is ignored.
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
    /// \brief Share of the capacity, relative to the shares of the other customers.
    const double share;
    /// \brief Maximum number of concurrent calls.
    const std::int64_t maxConcurrent;
    /// \brief Program classes that the customer may use; never empty. The first one is the default.
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

/// \brief Limits that apply to each node.
struct Limits {
    const std::int64_t maxBodyBytes;
    /// \brief Maximum number of queued calls.
    const std::int64_t maxQueue;
    /// \brief Maximum time between two chunks of a stream before the connection is considered dead.
    const std::int64_t streamSilenceMs;
    [[nodiscard]] bool operator==(const Limits&) const = default;
};

} // namespace lagoontiller::document
