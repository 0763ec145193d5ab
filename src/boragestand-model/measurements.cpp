#include "measurements.hpp"

namespace boragestand::model
{

const std::vector<measurement>& measurements()
{
    static const std::vector<measurement> all{
        {"imbalance", measure_imbalance}, {"peak", measure_peak},
        {"blocking", measure_blocking},   {"cold_start", measure_cold_start},
        {"changes", measure_changes},
    };
    return all;
}

} // namespace boragestand::model
