// The metrics registry's Prometheus text format, with escaped label values.

#include "core/kernel/metricsregistry.h"

#include <gtest/gtest.h>

namespace fescuepond
{

TEST(MetricsRegistry, RendersCountersGaugesAndHistogramsByLabel)
{
    MetricsRegistry metrics;
    metrics.count("calls_total", {{"kind", "stock"}});
    metrics.count("calls_total", {{"kind", "stock"}}, 2);
    metrics.gauge("limit", {}, [] {
        return 7.0;
    });
    metrics.observe("seconds", {{"kind", "stock"}}, std::chrono::milliseconds(5));
    metrics.observe("seconds", {{"kind", "stock"}}, std::chrono::hours(1));
    const std::string text = metrics.render();
    EXPECT_NE(text.find("# TYPE calls_total counter\ncalls_total{kind=\"stock\"} 3\n"), std::string::npos) << text;
    EXPECT_NE(text.find("# TYPE limit gauge\nlimit 7\n"), std::string::npos);
    EXPECT_NE(text.find("seconds_bucket{kind=\"stock\",le=\"+Inf\"} 2\n"), std::string::npos);
    EXPECT_NE(text.find("seconds_count{kind=\"stock\"} 2\n"), std::string::npos);
}

TEST(MetricsRegistry, LabelValueCannotBreakTheFormat)
{
    MetricsRegistry metrics;
    metrics.count("calls_total", {{"kind", "a\"b\\c\nd"}});
    EXPECT_NE(metrics.render().find("calls_total{kind=\"a\\\"b\\\\c\\nd\"} 1\n"), std::string::npos);
}

} // namespace fescuepond
