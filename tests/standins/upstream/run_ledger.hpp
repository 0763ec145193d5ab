#pragma once

#include <cstdint>
#include <fstream>
#include <set>
#include <string>

namespace boragestand::standins
{

/// Remembers which requests the upstreams of a process have run. Its file lets
/// several processes be compared.
class run_ledger
{
public:
    /// The file gets a line for each run; none is written without a name.
    explicit run_ledger(const std::string& file_name);

    /// Notes that an upstream has started a request.
    void record(std::uint64_t request, const std::string& upstream);

    /// Runs of requests that had run before.
    std::uint64_t duplicate_runs() const { return duplicate_runs_; }

private:
    std::ofstream file_;
    std::set<std::uint64_t> requests_;
    std::uint64_t duplicate_runs_{0};
};

} // namespace boragestand::standins
