#include "core/Metrics.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <sstream>

namespace lagoontiller::core {

namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(LogAxis(1, 0.1, 1.0)));
using SeriesKey = std::pair<std::string, MetricLabels>;

// Five buckets per decade over seven decades keep the relative width of a bucket below 60%.
constexpr int bucketCount = 35;
constexpr double minSample = 0.1;
constexpr double maxSample = 1e6;

struct Series {
    Histogram histogram = bh::make_histogram(LogAxis(bucketCount, minSample, maxSample));
    double sum = 0;
    std::uint64_t count = 0;
};

std::string escape(const std::string& value)
{
    std::string result;
    for (const char character : value) {
        if (character == '"' || character == '\\')
            result += '\\';
        result += character == '\n' ? ' ' : character;
    }
    return result;
}

std::string labelText(const MetricLabels& labels, const std::string& extra = {})
{
    std::string result;
    for (const auto& [name, value] : labels)
        result += (result.empty() ? "" : ",") + name + "=\"" + escape(value) + "\"";
    if (!extra.empty())
        result += (result.empty() ? "" : ",") + extra;
    return result.empty() ? "" : "{" + result + "}";
}

std::vector<HistogramBucket> bucketsOf(const Series& series)
{
    std::vector<HistogramBucket> result;
    std::uint64_t cumulative = static_cast<std::uint64_t>(series.histogram.at(-1));
    for (int index = 0; index < bucketCount; ++index) {
        cumulative += static_cast<std::uint64_t>(series.histogram.at(index));
        result.push_back({ series.histogram.axis().bin(index).upper(), cumulative });
    }
    return result;
}

} // namespace

struct MetricRegistry::Implementation {
    std::map<SeriesKey, double> counters;
    std::map<SeriesKey, double> gauges;
    std::map<SeriesKey, Series> histograms;
};

MetricRegistry::MetricRegistry()
    : implementation(std::make_unique<Implementation>())
{
}

MetricRegistry::~MetricRegistry() = default;

void MetricRegistry::add(const std::string& name, const MetricLabels& labels, double amount)
{
    const std::lock_guard lock(this->mutex);
    this->implementation->counters[{ name, labels }] += amount;
}

void MetricRegistry::set(const std::string& name, const MetricLabels& labels, double value)
{
    const std::lock_guard lock(this->mutex);
    this->implementation->gauges[{ name, labels }] = value;
}

void MetricRegistry::observe(const std::string& name, const MetricLabels& labels, double sample)
{
    const std::lock_guard lock(this->mutex);
    auto& series = this->implementation->histograms[{ name, labels }];
    series.histogram(sample);
    series.sum += sample;
    ++series.count;
}

double MetricRegistry::value(const std::string& name, const MetricLabels& labels) const
{
    const std::lock_guard lock(this->mutex);
    const SeriesKey key { name, labels };
    const auto counter = this->implementation->counters.find(key);
    if (counter != this->implementation->counters.end())
        return counter->second;
    const auto gauge = this->implementation->gauges.find(key);
    return gauge == this->implementation->gauges.end() ? 0 : gauge->second;
}

std::vector<HistogramBucket> MetricRegistry::buckets(const std::string& name, const MetricLabels& labels) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->implementation->histograms.find({ name, labels });
    return found == this->implementation->histograms.end() ? std::vector<HistogramBucket> {} : bucketsOf(found->second);
}

std::vector<std::pair<std::string, MetricLabels>> MetricRegistry::histograms() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::pair<std::string, MetricLabels>> result;
    for (const auto& [key, series] : this->implementation->histograms)
        result.push_back(key);
    return result;
}

std::vector<std::pair<MetricLabels, double>> MetricRegistry::counters(const std::string& name) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::pair<MetricLabels, double>> result;
    auto position = this->implementation->counters.lower_bound({ name, {} });
    for (; position != this->implementation->counters.end() && position->first.first == name; ++position)
        result.emplace_back(position->first.second, position->second);
    return result;
}

std::string MetricRegistry::text() const
{
    const std::lock_guard lock(this->mutex);
    std::ostringstream out;
    std::string previous;
    const auto writeType = [&](const std::string& name, const char* type) {
        if (name != previous)
            out << "# TYPE " << name << ' ' << type << '\n';
        previous = name;
    };
    for (const auto& [key, value] : this->implementation->counters) {
        writeType(key.first, "counter");
        out << key.first << labelText(key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, value] : this->implementation->gauges) {
        writeType(key.first, "gauge");
        out << key.first << labelText(key.second) << ' ' << value << '\n';
    }
    for (const auto& [key, series] : this->implementation->histograms) {
        writeType(key.first, "histogram");
        for (const auto& bucket : bucketsOf(series)) {
            std::ostringstream bound;
            bound << "le=\"" << bucket.upperBound << '"';
            out << key.first << "_bucket" << labelText(key.second, bound.str()) << ' ' << bucket.cumulativeCount
                << '\n';
        }
        out << key.first << "_bucket" << labelText(key.second, "le=\"+Inf\"") << ' ' << series.count << '\n';
        out << key.first << "_sum" << labelText(key.second) << ' ' << series.sum << '\n';
        out << key.first << "_count" << labelText(key.second) << ' ' << series.count << '\n';
    }
    return out.str();
}

} // namespace lagoontiller::core
