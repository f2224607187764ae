#pragma once

#include "gateway/StoreHealth.h"

#include <functional>
#include <map>
#include <set>

namespace lagoontiller::gateway {

/// \brief Software versions of services, as far as they matter for streams: which may have begun a stream recently.
///
/// The rows of the table `versions` list the versions of each service and when each left it. A node lists a version
/// before it begins streams at it, so that a node without any memory, and with an outdated view of the endpoints, can
/// tell from the row which versions a stream may have begun at. Rows are written only when a version comes or goes.
class ServiceVersions {
public:
    /// \brief Versions that may have begun a stream, or empty if that cannot be known.
    using Candidates = std::optional<std::set<std::string>>;

    static constexpr auto table = "versions";

    ServiceVersions(RowStore& store, StoreHealth& storeHealth)
        : store(store)
        , storeHealth(storeHealth)
    {
    }

    /// \brief Replaces the versions of the service that this node's view of the endpoints contains, and updates the row
    /// if necessary; call periodically.
    void update(const std::string& service, const std::set<std::string>& inView, core::TimePoint now);
    /// \brief Versions that streams may begin at; empty before the row was read.
    [[nodiscard]] const std::set<std::string>& listed(const std::string& service) const;
    /// \brief Whether more than one version is in service, or was until recently.
    [[nodiscard]] bool severalInService(const std::string& service) const;
    /// \brief Reads which listed versions were in service within the last `window`. If the row cannot be read, the last
    /// known one counts only in an outage that peers have confirmed.
    void inServiceWithin(const std::string& service, core::Duration window, std::function<void(Candidates)> done);

private:
    struct Entry {
        /// \brief Time of the store's clock at which the version had left; 0 while it is in service.
        std::uint64_t goneAtMs = 0;
    };
    struct Service {
        std::map<std::string, Entry> entries;
        std::set<std::string> listed;
        std::set<std::string> inView;
        /// \brief Time since which a listed version is missing in the view.
        std::map<std::string, core::TimePoint> missingSince;
        bool loaded = false;
        /// \brief Time of the last read or write of the row.
        core::TimePoint loadedAt {};
        bool updating = false;
        core::TimePoint nextUpdateAt {};
    };

    /// \brief Whether the list lacks a version of the view, or has one that counts as gone.
    [[nodiscard]] static bool differsFromView(const Service& service, core::TimePoint now);
    [[nodiscard]] static bool isOutdated(const Service& service, core::TimePoint now);
    void readRow(const std::string& name, std::function<void(const Row*, std::uint64_t storeMs)> done);
    void takeRow(Service& service, const Row& row, core::TimePoint now);
    void writeRow(const std::string& name, std::uint64_t rowVersion, std::uint64_t storeMs, core::TimePoint now);
    void updateEnded(const std::string& name, bool successful, core::TimePoint now);

    RowStore& store;
    StoreHealth& storeHealth;
    std::map<std::string, Service> services;
};

} // namespace lagoontiller::gateway
