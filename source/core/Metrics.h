#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace lagoontiller::core {

/// \brief Labels of a metric, in output order, for example {{"customer", "a"}, {"class", "b"}}.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// \brief Upper bound and cumulative count of one histogram bucket, in the unit of the samples.
struct HistogramBucket {
    double upperBound = 0;
    std::uint64_t cumulativeCount = 0;
    [[nodiscard]] bool operator==(const HistogramBucket&) const = default;
};

/// \brief Counters, gauges and histograms (Boost.Histogram) with labels, exported in the Prometheus text format.
///
/// Thread-safe. Histograms have logarithmic buckets from 0.1 to 1,000,000 of the sample's unit (milliseconds for
/// times).
class MetricRegistry {
public:
    MetricRegistry();
    ~MetricRegistry();
    MetricRegistry(const MetricRegistry&) = delete;
    MetricRegistry& operator=(const MetricRegistry&) = delete;

    /// \brief Adds `amount` to a counter.
    void add(const std::string& name, const MetricLabels& labels, double amount = 1);
    /// \brief Sets the value of a gauge.
    void set(const std::string& name, const MetricLabels& labels, double value);
    /// \brief Adds a sample to a histogram.
    void observe(const std::string& name, const MetricLabels& labels, double sample);

    /// \brief Value of the counter or else the gauge; 0 when neither exists.
    [[nodiscard]] double value(const std::string& name, const MetricLabels& labels) const;
    /// \brief Buckets of the histogram in ascending order; empty when it does not exist.
    [[nodiscard]] std::vector<HistogramBucket> buckets(const std::string& name, const MetricLabels& labels) const;
    /// \brief Names and labels of all histograms, for the status page.
    [[nodiscard]] std::vector<std::pair<std::string, MetricLabels>> histograms() const;
    /// \brief Labels and values of all counters with this name.
    [[nodiscard]] std::vector<std::pair<MetricLabels, double>> counters(const std::string& name) const;
    /// \brief All metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct Implementation;
    mutable std::mutex mutex;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lagoontiller::core
