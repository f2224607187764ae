#include "gateway/ClientAccounts.h"

#include "core/Hash.h"
#include "document/KeyHash.h"

#include <fmt/format.h>

namespace lagoontiller::gateway {

std::string digestKey(std::string_view key)
{
    static const auto salt = document::newSecret();
    return document::hashKey(salt, key);
}

std::string accountScope(const Account* account)
{
    // No account has this prefix, so that public callers reach no state of an account.
    return account == nullptr ? "public/" : fmt::format("{:016x}/", core::hash64(account->name));
}

ClientAccounts::ClientAccounts(const std::vector<Account>& accounts)
    : hasAccounts(!accounts.empty())
{
    for (const auto& account : accounts) {
        const auto shared = std::make_shared<const Account>(account);
        for (const auto& digest : account.keyDigests)
            this->accountsByDigest.emplace(digest, shared);
    }
}

std::shared_ptr<const Account> ClientAccounts::find(const std::string& keyDigest) const
{
    const auto found = this->accountsByDigest.find(keyDigest);
    return found == this->accountsByDigest.end() ? nullptr : found->second;
}

} // namespace lagoontiller::gateway
