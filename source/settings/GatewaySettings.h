#pragma once

#include "core/Log.h"
#include "core/Time.h"
#include "document/Address.h"
#include "document/Fault.h"
#include "document/Schema.h"

#include <map>
#include <memory>
#include <optional>

namespace lagoontiller::settings {

/// \brief How exactly the rates of client accounts are kept.
struct QuotaBounds {
    /// \brief Length of the sliding window in which calls are counted.
    core::Duration window = std::chrono::seconds(5);
    /// \brief Part of the limit by which a window may exceed it, and a number of calls in addition.
    double overshoot = 0.1;
    double slackCalls = 20;
    [[nodiscard]] bool operator==(const QuotaBounds&) const = default;
};

/// \brief What the connections of callers may take.
struct CallerBounds {
    std::size_t connections = 4'000;
    /// \brief Unread output of a connection at which its response is read no further.
    std::size_t unreadBytes = 1U << 20U;
    /// \brief Time without a received byte after which an upload gives way when memory is short.
    core::Duration uploadStall = std::chrono::milliseconds(1'000);
    [[nodiscard]] bool operator==(const CallerBounds&) const = default;
};

/// \brief Settings of a gateway process.
struct GatewaySettings {
    std::string nodeName;
    std::string zone;
    std::string region;
    /// \brief Maps each availability zone to its region.
    std::map<std::string, std::string> zones;
    core::LogLevel logLevel = core::LogLevel::Info;
    /// \brief Listen address for callers (HTTP).
    document::Address callerAddress;
    /// \brief Listen address for readiness checks of the platform (HTTP).
    document::Address readyAddress;
    /// \brief Listen address for callers that look up which address to use (HTTP).
    document::Address entryAddress;
    /// \brief Listen address for metrics (HTTP).
    document::Address metricsAddress;
    /// \brief Listen address for connections from other nodes.
    document::Address peerAddress;
    /// \brief Row store of the platform.
    document::Address storeAddress;
    /// \brief Maximum size of a row value in bytes, in the encoded form that the store counts.
    std::size_t rowBytes = 0;
    /// \brief Memory limit of the process in bytes.
    std::size_t memoryBytes = 0;
    /// \brief Time from SIGTERM to SIGKILL.
    core::Duration stopGrace {};
    /// \brief Maximum time for which callers may cache a response of the entry address.
    core::Duration entryValidity {};
    /// \brief Time after the acknowledgement of a configuration after which no call may run on a key that it lacks;
    /// empty if the deployment sets none.
    std::optional<core::Duration> revocationBound {};
    QuotaBounds quota {};
    /// \brief Uncached tokens from which a prompt is long; 0 if placement does not consider the engines' reading.
    std::uint64_t longPromptTokens = 0;
    CallerBounds callers {};
    /// \brief Number of table parts that this node records if no node has recorded one before.
    std::uint64_t tableParts = 16;
    [[nodiscard]] bool operator==(const GatewaySettings&) const = default;
};

/// \brief The settings, or null and all faults.
struct GatewayParseResult {
    std::shared_ptr<const GatewaySettings> settings;
    document::Faults faults;
};

/// \brief Parses and validates the settings of a gateway. Accepts arbitrary bytes; faults are sorted by position.
[[nodiscard]] GatewayParseResult parseGateway(std::string_view text);

/// \brief Schema of the settings file of a gateway.
[[nodiscard]] const document::Schema& gatewaySchema() noexcept;

} // namespace lagoontiller::settings
