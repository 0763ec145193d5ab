#pragma once

#include "base/base.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace boragestand::model
{

/// Result lines of one measurement, one for each design and case.
using result_lines = std::vector<log_line>;

/// A named measurement.
struct measurement
{
    std::string name;
    result_lines (*run)(std::uint64_t seed);
};

/// All measurements.
const std::vector<measurement>& measurements();

/// Max over mean of open flows per upstream at 70% of the connections, with
/// truthful load endpoints and with a false one.
result_lines measure_imbalance(std::uint64_t seed);

/// Answers within the deadline while demand is ten times as high.
result_lines measure_peak(std::uint64_t seed);

/// Waits of short requests with long ones among them.
result_lines measure_blocking(std::uint64_t seed);

/// Times of answers while one upstream is cold after a restart.
result_lines measure_cold_start(std::uint64_t seed);

/// Broken flows and control bytes while upstreams, instances, weights and data
/// centres change.
result_lines measure_changes(std::uint64_t seed);

} // namespace boragestand::model
