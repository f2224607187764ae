#include "command/HashKeyCommand.h"

#include "command/Arguments.h"
#include "command/ExitStatus.h"
#include "document/KeyHash.h"
#include "document/Schema.h"

#include <array>
#include <iostream>
#include <zmq.h>

namespace lagoontiller::command {

namespace {

constexpr std::size_t z85BufferSize = 41; // 40 characters and the terminating null that libzmq writes.

int printDeploymentKeys()
{
    std::array<char, z85BufferSize> publicKey {};
    std::array<char, z85BufferSize> secretKey {};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        std::cerr << "lagoontiller hash-key: the ZeroMQ library was built without CURVE support\n";
        return ExitStatus::Unavailable;
    }
    std::cout << "deployment_public_key = " << publicKey.data() << '\n';
    std::cout << "deployment_secret_key = " << secretKey.data() << '\n';
    return ExitStatus::Success;
}

// Writes the key to standard error: standard output is meant to be pasted into a document, which must not contain the
// key.
std::string generateKey(const std::string& customer)
{
    auto key = customer.empty() ? document::newSecret() : customer + '.' + document::newSecret();
    std::cerr << "key: " << key << '\n';
    return key;
}

/// \brief Reads the first line of standard input without its line break; empty at the end of input.
std::string readKey()
{
    std::string key;
    std::getline(std::cin, key);
    if (key.ends_with('\r'))
        key.pop_back();
    return key;
}

void printKeyHash(const std::string& customer, const document::KeyHash& hash)
{
    const std::string prefix = customer.empty() ? "operator_" : "";
    std::cout << prefix << "key_salt = " << hash.salt << '\n';
    std::cout << prefix << "key_hash = " << hash.hash << '\n';
}

} // namespace

int runHashKey(int argc, const char* const* argv)
{
    cxxopts::Options options("lagoontiller hash-key", "Print the salt and hash lines of a new or given key");
    options.add_options()("customer", "Customer that the key belongs to; default: the operator key",
        cxxopts::value<std::string>()->default_value(""))(
        "stdin", "Read the key from the first line of standard input")(
        "deployment", "Print a new CURVE key pair of the deployment instead");
    const auto arguments = parseArguments(options, argc, argv);
    if (const auto* const status = std::get_if<int>(&arguments))
        return *status;
    const auto& parsed = std::get<cxxopts::ParseResult>(arguments);
    const auto customer = parsed["customer"].as<std::string>();
    if (parsed.count("deployment") > 0)
        return printDeploymentKeys();
    if (parsed.count("customer") > 0 && !document::isCustomerName(customer))
        return usageError(options, "\"" + customer + "\" is not a customer name");
    const auto key = parsed.count("stdin") > 0 ? readKey() : generateKey(customer);
    if (key.empty())
        return usageError(options, "the key is empty");
    if (!customer.empty() && !key.starts_with(customer + '.'))
        return usageError(options, "the key of customer " + customer + " must start with \"" + customer + ".\"");
    printKeyHash(customer, document::newKeyHash(key));
    return ExitStatus::Success;
}

} // namespace lagoontiller::command
