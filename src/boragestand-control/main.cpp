#include "control_program.hpp"

#include <csignal>
#include <iostream>

using namespace boragestand;

namespace
{

int exit_with(const error& cause)
{
    std::cerr << "boragestand-control: " << cause.message << '\n';
    return error_info_for(cause.kind).exit_status;
}

int run(const settings::control_settings& settings)
{
    transport::main_loop loop;
    transport::timer_service timers(loop);
    const auto log =
        settings::event_log::open(settings.log, settings.instance.name);
    if (!log)
    {
        return exit_with(log.error());
    }
    const auto program =
        control::control_program::open(loop, timers, settings, **log);
    if (!program)
    {
        return exit_with(program.error());
    }
    const auto stop = [&program]
    {
        (*program)->request_stop();
    };
    const auto on_terminate = loop.on_signal(SIGTERM, stop);
    const auto on_interrupt = loop.on_signal(SIGINT, stop);
    loop.run();
    const auto& failed = (*program)->stop_error();
    return failed ? exit_with(*failed) : 0;
}

} // namespace

int main(int argc, char** argv)
{
    const auto start = settings::parse_control_command_line(
        {"boragestand-control",
         "Replicates the configuration and answers operators."},
        argc, argv, std::cout, std::cerr);
    if (const auto* status = std::get_if<int>(&start))
    {
        return *status;
    }
    return run(std::get<settings::control_settings>(start));
}
