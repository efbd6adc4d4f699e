// The metrics registry: storage and the Prometheus text format.

#include "core/kernel/metricsregistry.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <limits>

namespace fescuepond
{

namespace
{

constexpr double MinBucketSeconds = 0.0001;
constexpr double MaxBucketSeconds = 100.0;
constexpr unsigned BucketCount = 48;

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

/// Escapes a label value for the text format: names in declarations can contain any character.
std::string escaped(const std::string &value)
{
    std::string text;
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
    return text;
}

std::string renderLabels(const Labels &labels, const std::string &extra = {})
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", name, escaped(value));
    }
    if (!extra.empty()) {
        text += (text.empty() ? "" : ",") + extra;
    }
    return text.empty() ? "" : "{" + text + "}";
}

} // namespace

namespace detail
{

class LatencyHistogram
{
public:
    void add(double seconds)
    {
        m_histogram(seconds);
        m_sum += seconds;
    }

    std::string render(const std::string &name, const Labels &labels) const
    {
        std::string text;
        double cumulative = m_histogram.at(-1);
        for (int i = 0; i < m_histogram.axis().size(); ++i) {
            cumulative += m_histogram.at(i);
            const std::string bound = fmt::format("le=\"{:.6g}\"", m_histogram.axis().bin(i).upper());
            text += fmt::format("{}_bucket{} {}\n", name, renderLabels(labels, bound), cumulative);
        }
        cumulative += m_histogram.at(m_histogram.axis().size());
        text += fmt::format("{}_bucket{} {}\n", name, renderLabels(labels, "le=\"+Inf\""), cumulative);
        text += fmt::format("{}_sum{} {}\n", name, renderLabels(labels), m_sum);
        return text + fmt::format("{}_count{} {}\n", name, renderLabels(labels), cumulative);
    }

private:
    decltype(boost::histogram::make_histogram(LogAxis())) m_histogram =
        boost::histogram::make_histogram(LogAxis(BucketCount, MinBucketSeconds, MaxBucketSeconds));
    double m_sum = 0.0;
};

struct MetricsTable {
    template<typename Value>
    using Family = std::map<std::string, std::map<Labels, Value>, std::less<>>;

    Family<std::uint64_t> m_counters;
    Family<LatencyHistogram> m_histograms;
    Family<std::function<double()>> m_gauges;
};

} // namespace detail

MetricsRegistry::MetricsRegistry()
    : m_table(std::make_unique<SharedTable<detail::MetricsTable>>(LockRank::Metrics))
{
}

MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::count(std::string_view name, const Labels &labels, std::uint64_t by)
{
    m_table->locked([&](detail::MetricsTable &table) {
        table.m_counters[std::string(name)][labels] += by;
    });
}

void MetricsRegistry::observe(std::string_view name, const Labels &labels, Duration duration)
{
    m_table->locked([&](detail::MetricsTable &table) {
        table.m_histograms[std::string(name)][labels].add(std::chrono::duration<double>(duration).count());
    });
}

void MetricsRegistry::gauge(std::string_view name, const Labels &labels, std::function<double()> read)
{
    m_table->locked([&](detail::MetricsTable &table) {
        table.m_gauges[std::string(name)][labels] = std::move(read);
    });
}

std::uint64_t MetricsRegistry::counter(std::string_view name, const Labels &labels) const
{
    return m_table->locked([&](const detail::MetricsTable &table) -> std::uint64_t {
        const auto family = table.m_counters.find(name);
        if (family == table.m_counters.end()) {
            return 0;
        }
        const auto found = family->second.find(labels);
        return found == family->second.end() ? 0 : found->second;
    });
}

std::string MetricsRegistry::render() const
{
    std::string text;
    detail::MetricsTable::Family<std::function<double()>> gauges;
    m_table->locked([&](const detail::MetricsTable &table) {
        for (const auto &[name, family] : table.m_counters) {
            text += fmt::format("# TYPE {} counter\n", name);
            for (const auto &[labels, value] : family) {
                text += fmt::format("{}{} {}\n", name, renderLabels(labels), value);
            }
        }
        for (const auto &[name, family] : table.m_histograms) {
            text += fmt::format("# TYPE {} histogram\n", name);
            for (const auto &[labels, histogram] : family) {
                text += histogram.render(name, labels);
            }
        }
        gauges = table.m_gauges;
    });
    // Gauges read tables whose locks come earlier in the lock order, so they are read after this lock is released.
    for (const auto &[name, family] : gauges) {
        text += fmt::format("# TYPE {} gauge\n", name);
        for (const auto &[labels, read] : family) {
            text += fmt::format("{}{} {}\n", name, renderLabels(labels), read());
        }
    }
    return text;
}

} // namespace fescuepond
