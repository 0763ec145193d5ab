#pragma once

#include <cstdint>
#include <fstream>
#include <set>
#include <string>

namespace boragestand::standins
{

/// Records which requests the upstreams of a process have run, to detect
/// duplicate runs. The files of several processes can be compared.
class run_log
{
public:
    /// Appends a line to the file for each run; writes none if the name is
    /// empty.
    explicit run_log(const std::string& file_name);

    /// Records that an upstream has started a request.
    void record(std::uint64_t request, const std::string& upstream);

    /// Number of runs of requests that had already run.
    std::uint64_t duplicate_runs() const { return duplicate_runs_; }

private:
    std::ofstream file_;
    std::set<std::uint64_t> requests_;
    std::uint64_t duplicate_runs_{0};
};

} // namespace boragestand::standins
