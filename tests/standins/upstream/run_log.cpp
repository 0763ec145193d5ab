#include "run_log.hpp"

namespace boragestand::standins
{

run_log::run_log(const std::string& file_name)
{
    if (!file_name.empty())
    {
        file_.open(file_name, std::ios::app);
    }
}

void run_log::record(std::uint64_t request, const std::string& upstream)
{
    duplicate_runs_ += requests_.insert(request).second ? 0 : 1;
    if (file_.is_open())
    {
        file_ << request << ' ' << upstream << std::endl;
    }
}

} // namespace boragestand::standins
