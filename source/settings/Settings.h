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

/// \brief Settings of one process. They are read once at start; everything else is in the document.
struct Settings {
    const std::string nodeName;
    const std::string zone;
    const std::string region;
    /// \brief Where callers connect (HTTP).
    const document::Address callerAddress;
    /// \brief Where the console and the operator API are served (HTTP).
    const document::Address operatorAddress;
    /// \brief Whether the operator address may be reached from other machines although it is not encrypted.
    const bool operatorAllowRemote;
    /// \brief Where other nodes connect (ZeroMQ).
    const document::Address nodeAddress;
    /// \brief Node addresses that a starting node contacts first; may be empty on the first node.
    const std::vector<document::Address> seeds;
    const document::Address tableAddress;
    const document::Address objectAddress;
    const document::Address vmListAddress;
    const document::Address weightStoreAddress;
    /// \brief Must be equal on all nodes.
    const std::uint32_t partitions;
    /// \brief Must be equal on all nodes and stay fixed: they decide in which partition a program is.
    const std::vector<std::string> regions;
    /// \brief Write budget of the whole deployment in transactions per second.
    const std::uint32_t storeWritesPerSecond;
    /// \brief Commit streams of the whole deployment; the budget is divided among them.
    const std::uint32_t commitStreams;
    const std::uint32_t trafficThreads;
    const core::LogLevel logLevel;
    /// \brief CURVE key pair of the deployment as Z85 text; the same on all nodes.
    const std::string deploymentPublicKey;
    const std::string deploymentSecretKey;
    /// \brief Salt and hash of the key with which operators sign in.
    const document::KeyHash operatorKey;
    [[nodiscard]] bool operator==(const Settings&) const = default;
};

/// \brief The settings, or null and every fault.
struct ParseResult {
    std::shared_ptr<const Settings> settings;
    document::Faults faults;
};

/// \brief Reads and checks any bytes.
[[nodiscard]] ParseResult parse(std::string_view text);

/// \brief Sections and keys of the settings file.
[[nodiscard]] const document::Schema& settingsSchema() noexcept;

} // namespace lagoontiller::settings
