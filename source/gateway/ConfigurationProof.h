#pragma once

#include "core/Time.h"

#include <optional>

namespace lagoontiller::gateway {

/// \brief How long this node may still accept keys by the configuration that it has.
///
/// Failure: a key is revoked while this node can't read the store, is frozen or is suspended. Answers that confirm the
/// configuration prove it as of the time at which their request was sent. The proof lapses by the boot clock, which
/// counts suspension.
class ConfigurationProof {
public:
    /// \brief Without a maximum age the configuration counts as proven at all times.
    explicit ConfigurationProof(std::optional<core::Duration> maxAge = std::nullopt)
        : maxAge(maxAge)
    {
    }

    /// \brief Records that the store confirmed the configuration in force in an answer to a request sent at `sentAt`.
    void confirm(core::BootTimePoint sentAt);
    /// \brief A newer configuration exists that this node cannot use; nothing is proven until the next confirmation.
    void withdraw() noexcept { this->confirmedAt.reset(); }
    [[nodiscard]] bool isProven(core::BootTimePoint now) const;
    /// \brief Whether the proof is older than that of a node whose reads succeed, so that another way to read the
    /// configuration is worth its call.
    [[nodiscard]] bool isOverdue(core::BootTimePoint now) const;
    /// \brief Longest wait of a poll for changes, short enough that a node stays in service for three fifths of the
    /// maximum age after its last answer; empty without a maximum age.
    [[nodiscard]] std::optional<core::Duration> pollWait() const;

private:
    std::optional<core::Duration> maxAge;
    std::optional<core::BootTimePoint> confirmedAt;
};

} // namespace lagoontiller::gateway
