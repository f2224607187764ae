#pragma once

#include "gateway/Types.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace lagoontiller::gateway {

/// \brief Digest of an account's key: keyed BLAKE2b in hexadecimal, with a random salt of this process.
///
/// Accounts are found by the digest, so that the duration of a lookup tells nothing about how much of a key is right.
[[nodiscard]] std::string digestKey(std::string_view key);

/// \brief Prefix for the ids of the account's programs, turns and streams: 16 hexadecimal digits of the hash of its
/// name, then a slash. Public calls without an account have a prefix of their own.
[[nodiscard]] std::string accountScope(const Account* account);

/// \brief Client accounts of one configuration by key.
class ClientAccounts {
public:
    ClientAccounts() = default;
    explicit ClientAccounts(const std::vector<Account>& accounts);

    /// \brief Whether callers need keys.
    [[nodiscard]] bool required() const noexcept { return this->hasAccounts; }
    /// \brief The account that holds the key with the digest; null if there is none.
    [[nodiscard]] std::shared_ptr<const Account> find(const std::string& keyDigest) const;

private:
    bool hasAccounts = false;
    std::unordered_map<std::string, std::shared_ptr<const Account>> accountsByDigest;
};

/// \brief Whether a call may be sent now.
enum class Authorization : int {
    Granted,
    /// \brief The node cannot tell whether the key is still valid; another node may.
    Unproven,
    /// \brief No account holds the key.
    UnknownKey,
};

} // namespace lagoontiller::gateway
