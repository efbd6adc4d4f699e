// The metrics registry: counters, gauges and histograms of a node, one time series per label set.
//
// Histograms use Boost.Histogram with a logarithmic axis. The registry renders all metrics in the Prometheus text
// format.

#pragma once

#include "core/kernel/clock.h"
#include "core/kernel/sharedtable.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescuepond
{

namespace detail
{
class LatencyHistogram;
struct MetricsTable;
}

/// Label names and values, in the order in which they are written.
using Labels = std::vector<std::pair<std::string, std::string>>;

class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry &) = delete;
    MetricsRegistry &operator=(const MetricsRegistry &) = delete;

    /// Adds `by` to a counter.
    void count(std::string_view name, const Labels &labels = {}, std::uint64_t by = 1);
    /// Records one duration in a histogram of seconds.
    void observe(std::string_view name, const Labels &labels, Duration duration);
    /// Registers a gauge; `read` is called without the registry's lock each time the metrics are rendered.
    void gauge(std::string_view name, const Labels &labels, std::function<double()> read);

    std::uint64_t counter(std::string_view name, const Labels &labels = {}) const;
    /// Prometheus text format, version 0.0.4.
    std::string render() const;

private:
    std::unique_ptr<SharedTable<detail::MetricsTable>> m_table;
};

} // namespace fescuepond
