#include "entry_options.hpp"
#include "entry_program.hpp"

#include <csignal>
#include <iostream>

using namespace boragestand;

namespace
{

int exit_with(const error& cause)
{
    std::cerr << "boragestand-entry: " << cause.message << '\n';
    return error_info_for(cause.kind).exit_status;
}

int run(const settings::entry_settings& settings)
{
    transport::main_loop loop;
    transport::timer_service timers(loop);
    const auto log =
        settings::event_log::open(settings.log, settings.instance.name);
    if (!log)
    {
        return exit_with(log.error());
    }
    const auto incarnation = static_cast<std::uint64_t>(
        timers.wall_now().time_since_epoch().count());
    const auto options = entry::make_options(settings, incarnation);
    if (!options)
    {
        return exit_with(options.error());
    }
    const auto program =
        entry::entry_program::open(loop, timers, *options, **log);
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
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const auto start = settings::parse_entry_command_line(
        {"boragestand-entry", "Forwards the packets of callers to upstreams."},
        argc, argv, std::cout, std::cerr);
    if (const auto* status = std::get_if<int>(&start))
    {
        return *status;
    }
    return run(std::get<settings::entry_settings>(start));
}
