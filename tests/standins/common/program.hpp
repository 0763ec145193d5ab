#pragma once

#include "transport/transport.hpp"

#include <boost/program_options.hpp>

#include <functional>
#include <string>

namespace boragestand::standins
{

namespace options = boost::program_options;

/// Loop and time of a test double, with its bound in time.
struct program
{
    transport::main_loop loop;
    transport::timer_service timers{loop};

    /// Runs the loop until it is quit. SIGTERM and the time limit call stop.
    void run(duration time_limit, const std::function<void()>& stop);
};

/// Parses the command line. Prints help or an error and exits on request or
/// failure.
options::variables_map parse_options(int argc, char** argv,
                                     options::options_description& accepted);

/// An option that must be an endpoint; exits with an error if it is not.
transport::endpoint endpoint_option(const options::variables_map& values,
                                    const std::string& name);

/// An option in milliseconds.
duration milliseconds_option(const options::variables_map& values,
                             const std::string& name);

/// Prints the error and exits with the status of its kind.
[[noreturn]] void fail(const error& reason);

/// The value, or exits with its error.
template <typename Value>
Value value_or_exit(result<Value> outcome)
{
    if (!outcome)
    {
        fail(outcome.error());
    }
    return std::move(*outcome);
}

} // namespace boragestand::standins
