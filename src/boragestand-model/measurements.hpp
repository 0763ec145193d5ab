#pragma once

#include "base/base.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace boragestand::model
{

/// Result lines of a measurement, one per design and case.
using result_lines = std::vector<log_line>;

/// A named measurement.
struct measurement
{
    std::string name;
    result_lines (*run)(std::uint64_t seed);
};

/// All measurements.
const std::vector<measurement>& measurements();

/// Measures the ratio of maximum to mean open flows per upstream at 70% of the
/// connections, with truthful load endpoints and with a false one.
result_lines measure_imbalance(std::uint64_t seed);

/// Measures responses within the deadline while demand is ten times the base.
result_lines measure_peak(std::uint64_t seed);

/// Measures how long short requests wait when 5% of the requests are long.
result_lines measure_blocking(std::uint64_t seed);

/// Measures response times while one upstream is cold after a restart.
result_lines measure_cold_start(std::uint64_t seed);

/// Measures broken flows and control bytes while upstreams, instances, weights
/// and data centres change.
result_lines measure_changes(std::uint64_t seed);

} // namespace boragestand::model
