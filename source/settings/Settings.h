#pragma once

#include "core/Log.h"
#include "document/Address.h"
#include "document/Fault.h"
#include "document/KeyHash.h"
#include "document/Schema.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lagoontiller::settings {

/// \brief Settings of one process, read once at startup. All other configuration is in the document.
struct Settings {
    const std::string nodeName;
    const std::string zone;
    const std::string region;
    /// \brief Listen address for callers (HTTP).
    const document::Address callerAddress;
    /// \brief Listen address of the console and the operator API (HTTP).
    const document::Address operatorAddress;
    /// \brief Whether the operator address may be other than loopback, although its connections are not encrypted.
    const bool operatorAllowRemote;
    /// \brief Listen address for other nodes (ZeroMQ).
    const document::Address nodeAddress;
    /// \brief Addresses of the nodes that this node contacts first when it starts; may be empty on the first node.
    const std::vector<document::Address> seeds;
    /// \brief Transactional table service of the platform.
    const document::Address tableAddress;
    const document::Address objectAddress;
    const document::Address vmListAddress;
    const document::Address weightStoreAddress;
    /// \brief Number of partitions of the program space. Must be equal on all nodes.
    const std::uint32_t partitions;
    /// \brief All regions of the deployment. Must be equal on all nodes and never change, because the partition of a
    /// program depends on them.
    const std::vector<std::string> regions;
    /// \brief Maximum write transactions per second of the whole deployment.
    const std::uint32_t storeWritesPerSecond;
    /// \brief Number of commit streams of the whole deployment; `storeWritesPerSecond` is divided among them.
    const std::uint32_t commitStreams;
    /// \brief Number of threads that handle the connections of callers.
    const std::uint32_t trafficThreads;
    const core::LogLevel logLevel;
    /// \brief CURVE key pair of the deployment in Z85 encoding; must be equal on all nodes.
    const std::string deploymentPublicKey;
    const std::string deploymentSecretKey;
    /// \brief Salt and hash of the key with which operators sign in.
    const document::KeyHash operatorKey;
    [[nodiscard]] bool operator==(const Settings&) const = default;
};

/// \brief The settings, or null and all faults.
struct ParseResult {
    std::shared_ptr<const Settings> settings;
    document::Faults faults;
};

/// \brief Parses and validates the settings of a node. Accepts arbitrary bytes; faults are sorted by position.
[[nodiscard]] ParseResult parse(std::string_view text);

/// \brief Schema of the settings file of a node.
[[nodiscard]] const document::Schema& settingsSchema() noexcept;

} // namespace lagoontiller::settings
