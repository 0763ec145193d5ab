#pragma once

#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <string>

/// Metrics in the Prometheus text format.
namespace boragestand
{

/// Appends the HELP and TYPE lines of a metric.
void append_header(std::string& text, const std::string& name,
                   const std::string& help, const char* type);

/// Appends a counter; its name ends in _total.
void append_counter(std::string& text, const std::string& name,
                    const std::string& help, std::uint64_t value);

/// Appends a gauge.
void append_gauge(std::string& text, const std::string& name,
                  const std::string& help, std::uint64_t value);

/// Histogram of durations with fixed buckets from 1 ms to 10 s.
class duration_histogram
{
public:
    /// Adds one duration.
    void add(duration value);

    /// Appends the histogram; its name ends in _seconds.
    void append_to(std::string& text, const std::string& name,
                   const std::string& help) const;

private:
    static constexpr std::array<int, 13> bounds_ms{
        1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

    std::array<std::uint64_t, bounds_ms.size() + 1> counts_{};
    std::uint64_t total_{0};
    duration sum_{};
};

} // namespace boragestand
