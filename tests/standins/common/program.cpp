#include "program.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace boragestand::standins
{

void program::run(duration time_limit, const std::function<void()>& stop)
{
    const auto terminated = loop.on_signal(SIGTERM, stop);
    const auto interrupted = loop.on_signal(SIGINT, stop);
    const auto limit = timers.after(time_limit, [&](time_point) { stop(); });
    loop.run();
}

options::variables_map parse_options(int argc, char** argv,
                                     options::options_description& accepted)
{
    accepted.add_options()("help", "print this text")(
        "time-limit-ms", options::value<std::uint64_t>()->default_value(600000),
        "stop after this time at the latest");
    options::variables_map values;
    try
    {
        options::store(options::parse_command_line(argc, argv, accepted),
                       values);
        if (values.count("help"))
        {
            std::cout << accepted;
            std::exit(EXIT_SUCCESS);
        }
        options::notify(values);
    }
    catch (const options::error& problem)
    {
        exit_with_error({error_kind::invalid_argument, problem.what()});
    }
    return values;
}

transport::endpoint endpoint_option(const options::variables_map& values,
                                    const std::string& name)
{
    return value_or_exit(
        transport::parse_endpoint(values[name].as<std::string>()));
}

duration milliseconds_option(const options::variables_map& values,
                             const std::string& name)
{
    return std::chrono::milliseconds(values[name].as<std::uint64_t>());
}

void exit_with_error(const error& reason)
{
    std::cerr << reason.message << '\n';
    std::exit(error_info_for(reason.kind).exit_status);
}

} // namespace boragestand::standins
