#include "settings/Settings.h"

#include "document/IniText.h"
#include "document/Record.h"
#include "document/SchemaCheck.h"
#include "settings/impl/LogLevels.h"

#include <algorithm>
#include <array>
#include <map>
#include <stdexcept>
#include <zmq.h>

namespace lagoontiller::settings {

namespace {

using document::Address;
using document::Record;

constexpr std::size_t z85BufferSize = 41; // 40 characters and the terminating null that libzmq writes.

/// \brief Parses a validated address.
Address toAddress(const std::string& text)
{
    const auto address = document::parseAddress(text);
    if (!address)
        throw std::logic_error("a validated address cannot be parsed");
    return *address;
}

std::vector<Address> toAddresses(const std::vector<std::string>& texts)
{
    std::vector<Address> addresses;
    std::transform(texts.begin(), texts.end(), std::back_inserter(addresses), toAddress);
    return addresses;
}

std::uint32_t toUint32(const Record& record, std::string_view key)
{
    return static_cast<std::uint32_t>(record.integer(key));
}

Settings buildSettings(const Record& node, const Record& platform, const Record& deployment, const Record& keys)
{
    return {
        .nodeName = node.text("name"),
        .zone = node.text("zone"),
        .region = node.text("region"),
        .callerAddress = toAddress(node.text("caller_address")),
        .operatorAddress = toAddress(node.text("operator_address")),
        .operatorAllowRemote = node.boolean("operator_allow_remote"),
        .nodeAddress = toAddress(node.text("node_address")),
        .seeds = toAddresses(node.list("seeds")),
        .tableAddress = toAddress(platform.text("table_address")),
        .objectAddress = toAddress(platform.text("object_address")),
        .vmListAddress = toAddress(platform.text("vm_list_address")),
        .weightStoreAddress = toAddress(platform.text("weight_store_address")),
        .partitions = toUint32(deployment, "partitions"),
        .regions = deployment.list("regions"),
        .storeWritesPerSecond = toUint32(platform, "store_writes_per_second"),
        .commitStreams = toUint32(deployment, "commit_streams"),
        .trafficThreads = toUint32(node, "traffic_threads"),
        .logLevel = parseLogLevel(node.text("log_level")),
        .deploymentPublicKey = keys.text("deployment_public_key"),
        .deploymentSecretKey = keys.text("deployment_secret_key"),
        .operatorKey = { keys.text("operator_key_salt"), keys.text("operator_key_hash") },
    };
}

/// \brief Reports listen addresses that are equal.
void checkListenAddresses(const Record& node, document::Faults& faults)
{
    std::map<std::string, std::string_view> keyByAddress;
    for (const std::string_view key : { "caller_address", "operator_address", "node_address" }) {
        const auto* const value = node.find(key);
        if (value == nullptr || !value->canonical)
            continue;
        const auto [first, isNew] = keyByAddress.emplace(*value->canonical, key);
        if (!isNew) {
            faults.push_back({ value->line, value->column, node.heading(), std::string(key),
                *value->canonical + " is also " + std::string(first->second), "three different addresses", "" });
        }
    }
}

bool isLoopback(const std::string& ip)
{
    return ip.starts_with("127.") || ip == "::1";
}

/// \brief Reports an operator address other than loopback unless `operator_allow_remote` is set, because the operator
/// key is sent without encryption.
void checkOperatorAddress(const Record& node, document::Faults& faults)
{
    const auto* const value = node.find("operator_address");
    const bool isCheckable = value != nullptr && value->canonical && !node.isInvalid("operator_allow_remote");
    if (!isCheckable || node.boolean("operator_allow_remote") || isLoopback(toAddress(*value->canonical).ip))
        return;
    faults.push_back({ value->line, value->column, node.heading(), "operator_address",
        *value->canonical + " can be reached from other machines, and the operator key is sent without encryption",
        "an address that starts with 127. or [::1], or operator_allow_remote = true", "" });
}

/// \brief Reports a public key that does not belong to the secret key. Otherwise the mismatch would show only when all
/// other nodes reject the connections of this node.
void checkKeyPair(const Record& keys, document::Faults& faults)
{
    const auto* const publicKey = keys.find("deployment_public_key");
    const auto* const secretKey = keys.find("deployment_secret_key");
    if (publicKey == nullptr || secretKey == nullptr || !publicKey->canonical || !secretKey->canonical)
        return;
    std::array<char, z85BufferSize> derived {};
    const bool valid = zmq_curve_public(derived.data(), secretKey->canonical->c_str()) == 0;
    if (!valid || *publicKey->canonical != derived.data()) {
        faults.push_back({ publicKey->line, publicKey->column, keys.heading(), "deployment_public_key",
            "the key does not belong to deployment_secret_key",
            "the two keys of one pair, as printed by lagoontiller hash-key --deployment", "" });
    }
}

} // namespace

ParseResult parse(std::string_view text)
{
    const auto ini = document::readIni(text);
    auto faults = ini.faults;
    const auto records = document::checkSchema(settingsSchema(), ini, faults);
    const auto section
        = [&records](std::string_view kind) { return document::firstOfKind(records, *settingsSchema().find(kind)); };
    const auto node = section("node");
    const auto keys = section("keys");
    checkListenAddresses(node, faults);
    checkOperatorAddress(node, faults);
    checkKeyPair(keys, faults);
    document::sortByPosition(faults);
    if (!faults.empty())
        return { nullptr, std::move(faults) };
    const auto settings = buildSettings(node, section("platform"), section("deployment"), keys);
    return { std::make_shared<const Settings>(settings), {} };
}

} // namespace lagoontiller::settings
