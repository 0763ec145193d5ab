#include "command_line.hpp"
#include "commands.hpp"

#include <iostream>

namespace
{

using namespace boragestand;

void print(const ctl::command_report& report, bool json)
{
    if (json)
    {
        std::cout << report.json.dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace)
                  << '\n';
        return;
    }
    const bool failed = report.json.contains("error");
    (failed ? std::cerr : std::cout) << report.text;
}

} // namespace

int main(int argc, char** argv)
{
    const auto parsed =
        ctl::parse_command_line(argc, argv, std::cout, std::cerr);
    const auto* call = std::get_if<ctl::invocation>(&parsed);
    if (call == nullptr)
    {
        return std::get<int>(parsed);
    }
    transport::main_loop loop;
    transport::timer_service timers(loop);
    ctl::group_limits limits;
    limits.timeout = call->timeout;
    ctl::control_group group(loop, timers, call->control, limits);
    const ctl::command_report report =
        ctl::find_command(call->command)->run(*call, group);
    print(report, call->json);
    return report.exit_status;
}
